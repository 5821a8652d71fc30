//! Checks of a whole document.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::config::{Closing, Document, Service, Team};
use crate::resources::Resources;

const NAME_LIMIT: usize = 64;
/// As many requests as streams that a connection between processes carries.
const SLOT_LIMIT: u32 = 4096;
const CONNECTION_LIMIT: u32 = 4096;
const QUEUE_LIMIT: u32 = 65_536;
const TIMEOUT_LIMIT_MS: u64 = 24 * 3600 * 1000;
const LEAD_LIMIT_S: u64 = 30 * 24 * 3600;
const DIGEST_LENGTH: usize = 64;

/// One fault of a document or a patch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// Path of the field, with dots between names; empty for the whole document.
    pub field: String,
    pub detail: String,
}

impl Problem {
    /// Builds a problem from its parts.
    pub fn new(field: impl Into<String>, detail: impl fmt::Display) -> Self {
        Problem { field: field.into(), detail: detail.to_string() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.as_str() {
            "" => f.write_str(&self.detail),
            field => write!(f, "{field}: {}", self.detail),
        }
    }
}

/// Returns all faults of a document; empty if it may take effect.
pub fn validate(document: &Document) -> Vec<Problem> {
    let mut check = Check { document, problems: Vec::new() };
    check.names();
    check.vm_sizes();
    check.teams();
    document.services.iter().for_each(|(name, service)| check.service(name, service));
    check.classes();
    check.closings();
    check.problems
}

struct Check<'a> {
    document: &'a Document,
    problems: Vec<Problem>,
}

impl Check<'_> {
    fn report(&mut self, field: impl Into<String>, detail: impl fmt::Display) {
        self.problems.push(Problem::new(field, detail));
    }

    fn names(&mut self) {
        let document = self.document;
        let sections: [(&str, Vec<&String>); 6] = [
            ("vm_sizes", document.vm_sizes.keys().collect()),
            ("cells", document.cells.keys().collect()),
            ("teams", document.teams.keys().collect()),
            ("services", document.services.keys().collect()),
            ("classes", document.classes.keys().collect()),
            ("closings", document.closings.keys().collect()),
        ];
        for (section, names) in sections {
            for name in names {
                self.name(format!("{section}.{name}"), name);
            }
        }
        for (name, cell) in &document.cells {
            self.name(format!("cells.{name}.data_centre"), &cell.data_centre);
        }
    }

    /// Names become parts of store keys and URL paths.
    fn name(&mut self, field: String, name: &str) {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        match name {
            "" => self.report(field, "the name is empty"),
            "." | ".." => self.report(field, "the name is reserved"),
            _ if name.len() > NAME_LIMIT => {
                self.report(field, format!("the name exceeds {NAME_LIMIT} bytes"))
            }
            _ if name.contains('/') => self.report(field, "the name contains a slash"),
            _ if !name.chars().all(is_plain) => {
                self.report(field, "the name may hold only letters, digits, '.', '_' and '-'")
            }
            _ => {}
        }
    }

    fn vm_sizes(&mut self) {
        for (name, size) in &self.document.vm_sizes {
            let field = format!("vm_sizes.{name}");
            self.positive(&field, size);
        }
    }

    fn positive(&mut self, field: &str, amount: &Resources) {
        if amount.cpu_milli == 0 {
            self.report(format!("{field}.cpu_milli"), "has to be above zero");
        }
        if amount.memory_mib == 0 {
            self.report(format!("{field}.memory_mib"), "has to be above zero");
        }
    }

    fn fits(&mut self, field: &str, limit: &Resources) {
        if !self.document.vm_sizes.values().any(|size| limit.fits_in(size)) {
            self.report(field, "fits no VM size");
        }
    }

    fn teams(&mut self) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        let document = self.document;
        for (name, Team { token_sha256: digest, .. }) in &document.teams {
            let field = format!("teams.{name}.token_sha256");
            let is_hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
            if digest.len() != DIGEST_LENGTH || !digest.bytes().all(is_hex) {
                self.report(field, "is not a SHA-256 digest in lower-case hex");
            } else if let Some(other) = owners.insert(digest, name) {
                self.report(field, format!("is also the digest of team {other}"));
            }
        }
    }

    fn references<'n>(
        &mut self,
        field: &str,
        names: &'n [String],
        kind: &str,
        exists: impl Fn(&str) -> bool,
    ) {
        let mut seen: BTreeSet<&'n str> = BTreeSet::new();
        for name in names {
            if !exists(name) {
                self.report(field, format!("there is no {kind} named {name:?}"));
            }
            if !seen.insert(name) {
                self.report(field, format!("{name:?} is named twice"));
            }
        }
    }

    fn range(&mut self, field: String, value: u64, low: u64, high: u64) {
        if value < low || value > high {
            self.report(field, format!("{value} is not within {low} to {high}"));
        }
    }

    fn service(&mut self, name: &str, service: &Service) {
        let field = |part: &str| format!("services.{name}.{part}");
        let document = self.document;
        let is_team = |team: &str| document.teams.contains_key(team);
        self.references(&field("teams"), &service.teams, "team", is_team);
        self.positive(&field("limit"), &service.limit);
        self.fits(&field("limit"), &service.limit);
        self.range(field("slots"), service.slots.into(), 1, SLOT_LIMIT.into());
        self.range(field("connections"), service.connections.into(), 1, CONNECTION_LIMIT.into());
        self.range(field("queue"), service.queue.into(), 0, QUEUE_LIMIT.into());
        self.range(field("timeout_ms"), service.timeout_ms, 1, TIMEOUT_LIMIT_MS);
        self.range(field("target_ms"), service.target_ms, 1, TIMEOUT_LIMIT_MS);
        if service.connections < service.slots && service.connections > 0 {
            self.report(field("connections"), "is less than slots; a request takes a connection");
        }
    }

    fn classes(&mut self) {
        for (name, class) in &self.document.classes {
            let field = format!("classes.{name}.limit");
            self.positive(&field, &class.limit);
            self.fits(&field, &class.limit);
        }
    }

    fn closings(&mut self) {
        let document = self.document;
        let mut periods: Vec<(&str, &Closing, SystemTime, SystemTime)> = Vec::new();
        for (name, closing) in &document.closings {
            let field = |part: &str| format!("closings.{name}.{part}");
            let is_service = |service: &str| document.services.contains_key(service);
            let is_class = |class: &str| document.classes.contains_key(class);
            self.references(&field("services"), &closing.services, "service", is_service);
            self.references(&field("classes"), &closing.classes, "class", is_class);
            self.fits(&field("batch_limit"), &closing.batch_limit);
            self.range(field("lead_s"), closing.lead_s, 0, LEAD_LIMIT_S);
            if closing.services.is_empty() {
                self.report(field("services"), "names no service");
            }
            for (part, text) in [("start", &closing.start), ("end", &closing.end)] {
                if let Err(error) = humantime::parse_rfc3339(text) {
                    self.report(field(part), format!("{text:?} is not RFC 3339 in UTC: {error}"));
                }
            }
            match closing.period() {
                Ok((start, end)) if end <= start => {
                    self.report(field("end"), "has to be after the start")
                }
                Ok((start, end)) => periods.push((name, closing, start, end)),
                Err(_) => {}
            }
        }
        self.overlaps(&mut periods);
    }

    fn overlaps(&mut self, periods: &mut [(&str, &Closing, SystemTime, SystemTime)]) {
        periods.sort_by_key(|(_, _, start, _)| *start);
        for (index, (name, closing, _, end)) in periods.iter().enumerate() {
            let later = periods[index + 1..].iter().take_while(|(_, _, start, _)| start < end);
            for (other, other_closing, _, _) in later {
                let shared: Vec<&str> = closing
                    .services
                    .iter()
                    .filter(|service| other_closing.services.contains(service))
                    .map(String::as_str)
                    .collect();
                if !shared.is_empty() {
                    let detail = format!("overlaps {name} in {}", shared.join(", "));
                    self.report(format!("closings.{other}"), detail);
                }
            }
        }
    }
}
