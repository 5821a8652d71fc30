//! Capacity limits of a VM from the configuration and the closings in effect.
//!
//! A closing is a configured period, such as the end of a year, in which batch work on the VMs of
//! some services is limited. Its lead time is the period before its start in which the VMs prepare.

use std::time::{Duration, SystemTime};

use crate::config::{Closing, Document};
use crate::ledger::{ClosingLimit, Limits};

/// Running tasks above the limit are removed only in the last `1 / ENFORCE_DIVISOR` of the lead
/// time. Before that only new starts are refused, so that most tasks end by themselves.
const ENFORCE_DIVISOR: u32 = 4;

/// Returns the capacity limits of a VM that runs `service` at the wall-clock time `wall_time`.
pub fn limits(document: &Document, service: &str, wall_time: SystemTime) -> Limits {
    let classes = document.classes.iter().map(|(name, class)| (name.clone(), class.limit));
    Limits {
        service: document.services.get(service).map(|service| service.limit).unwrap_or_default(),
        classes: classes.collect(),
        closing: document
            .closings
            .values()
            .filter(|closing| closing.services.iter().any(|name| name == service))
            .filter_map(|closing| closing_limit(closing, wall_time))
            .reduce(strictest),
    }
}

/// Returns the limit of a closing at `wall_time`, or `None` outside the closing and its lead time.
fn closing_limit(closing: &Closing, wall_time: SystemTime) -> Option<ClosingLimit> {
    let start = humantime::parse_rfc3339(&closing.start).ok()?;
    let end = humantime::parse_rfc3339(&closing.end).ok()?;
    let lead = Duration::from_secs(closing.lead_s);
    let prepare = start.checked_sub(lead).unwrap_or(SystemTime::UNIX_EPOCH);
    let enforce = start.checked_sub(lead / ENFORCE_DIVISOR).unwrap_or(SystemTime::UNIX_EPOCH);
    (prepare <= wall_time && wall_time < end).then(|| ClosingLimit {
        batch: closing.batch_limit,
        classes: closing.classes.clone(),
        enforced: enforce <= wall_time,
    })
}

/// Combines two closings that overlap into the lower limit and the union of their classes.
fn strictest(one: ClosingLimit, other: ClosingLimit) -> ClosingLimit {
    let classes = match (one.classes.is_empty(), other.classes.is_empty()) {
        (true, _) => other.classes,
        (_, true) => one.classes,
        _ => one.classes.into_iter().chain(other.classes).collect(),
    };
    ClosingLimit {
        batch: one.batch.min(&other.batch),
        classes,
        enforced: one.enforced || other.enforced,
    }
}
