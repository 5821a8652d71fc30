//! Part of the capacity that each queue with demand keeps, whatever the others submit.

use std::collections::HashMap;
use std::time::Duration;

use crate::flow::forecast::Room;
use crate::time::Time;

/// Part of its equal share of the rate that a queue keeps, as a divisor.
const FLOOR_DIVISOR: u64 = 4;
/// Time after a request for which a queue counts as one with demand.
const DEMAND_TIME: Duration = Duration::from_secs(5);
/// Time over which a queue may collect what it is due.
const MAX_CREDIT_TIME: Duration = Duration::from_secs(5);

/// A queue with demand.
#[derive(Debug, Clone)]
struct Share {
    /// Work that the queue may have admitted against the forecast; negative after a job that was larger
    /// than what it was due.
    credit: i64,
    /// Rate at which the credit grows, in thousandths of a core.
    rate: u64,
    updated_at: Time,
    demand_until: Time,
}

type Shares = HashMap<String, Share>;

/// Queues with demand, by service and kind of capacity.
#[derive(Debug, Clone, Default)]
pub(super) struct Floors {
    pools: HashMap<String, [Shares; 2]>,
}

impl Floors {
    /// Notes a request of a queue while its service gets work done at `rate`, and updates what the
    /// queue is due.
    pub(super) fn note_demand(
        &mut self,
        now: Time,
        service: &str,
        room: Room,
        queue: &str,
        rate: u64,
    ) {
        if !self.pools.contains_key(service) {
            self.pools.insert(service.to_owned(), Default::default());
        }
        let Some(pools) = self.pools.get_mut(service) else { return };
        let shares = &mut pools[room as usize];
        shares.retain(|_, share| now < share.demand_until);
        if !shares.contains_key(queue) {
            let share = Share { credit: 0, rate: 0, updated_at: now, demand_until: now };
            shares.insert(queue.to_owned(), share);
        }
        let count = shares.len() as u64;
        let Some(share) = shares.get_mut(queue) else { return };
        let elapsed = now.saturating_sub(share.updated_at).as_millis() as u64;
        // A queue alone needs no floor.
        share.rate = if count > 1 { rate / (FLOOR_DIVISOR * count) } else { 0 };
        let most = (share.rate * MAX_CREDIT_TIME.as_millis() as u64) as i64;
        share.credit = (share.credit + (share.rate * elapsed) as i64).min(most);
        share.updated_at = now;
        share.demand_until = share.demand_until.max(now + DEMAND_TIME);
    }

    /// Notes that a job of a queue was refused, and that its caller is to return at `due`.
    pub(super) fn note_refused(&mut self, service: &str, room: Room, queue: &str, due: Time) {
        if let Some(share) = self.share(service, room, queue) {
            share.demand_until = share.demand_until.max(due + DEMAND_TIME);
        }
    }

    /// Counts a job that was admitted by the forecast against what its queue is due.
    pub(super) fn note_admitted(&mut self, service: &str, room: Room, queue: &str, work: u64) {
        if let Some(share) = self.share(service, room, queue) {
            let least = share.credit.min(0);
            share.credit = share.credit.saturating_sub_unsigned(work).max(least);
        }
    }

    /// Takes the work of a job from what its queue is due; returns whether it is due any.
    pub(super) fn take(&mut self, service: &str, room: Room, queue: &str, work: u64) -> bool {
        match self.share(service, room, queue) {
            Some(share) if share.credit > 0 => {
                share.credit = share.credit.saturating_sub_unsigned(work);
                true
            }
            _ => false,
        }
    }

    /// Returns the time until a queue is due something; `None` if it has no floor.
    pub(super) fn time_left(&self, service: &str, room: Room, queue: &str) -> Option<Duration> {
        let share = self.pools.get(service)?[room as usize].get(queue)?;
        let missing = share.credit.min(0).unsigned_abs() + 1;
        (share.rate > 0).then(|| Duration::from_millis(missing.div_ceil(share.rate)))
    }

    fn share(&mut self, service: &str, room: Room, queue: &str) -> Option<&mut Share> {
        self.pools.get_mut(service)?[room as usize].get_mut(queue)
    }
}
