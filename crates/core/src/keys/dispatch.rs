//! Record of the idempotency keys that an entry has dispatched to holders.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use crate::id::ServiceId;
use crate::keys::{Generation, Holder, RETENTION};
use crate::time::Time;

/// Dispatches of one key by this entry, all to the same holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchRecord {
    pub holder: Holder,
    /// Generation of the key's bucket at the first dispatch.
    pub generation: Generation,
    /// Number of dispatches whose result is not known yet.
    in_flight: u32,
    /// The key may have run: a dispatch ended without proof that it did not.
    maybe_run: bool,
    /// Time at which a dispatch last began or ended.
    last_change: Time,
}

type Key = (ServiceId, Bytes);

/// Table of the keys that an entry has dispatched within the retention. A key is recorded before
/// its request is sent, and removed before the retention ends only with proof that it did not run.
#[derive(Debug, Default)]
pub struct DispatchTable {
    keys: HashMap<Key, DispatchRecord>,
    /// Keys with the time of each begin and end of a dispatch, oldest first.
    expiry_queue: VecDeque<(Time, Key)>,
}

impl DispatchTable {
    /// Records a dispatch of `key` before its request is sent to `holder`.
    ///
    /// # Panics
    ///
    /// Panics when the key was dispatched to another holder, which the caller has to check with
    /// [`DispatchTable::get`] first.
    pub fn begin(
        &mut self,
        now: Time,
        service: &str,
        key: &Bytes,
        (holder, generation): (&Holder, Generation),
    ) {
        let id = (service.to_owned(), key.clone());
        self.expiry_queue.push_back((now, id.clone()));
        let record = self.keys.entry(id).or_insert_with(|| DispatchRecord {
            holder: holder.clone(),
            generation,
            in_flight: 0,
            maybe_run: false,
            last_change: now,
        });
        assert_eq!(record.holder, *holder, "a key was dispatched to a second holder");
        record.in_flight += 1;
        record.last_change = now;
    }

    /// Records the end of a dispatch. `not_run` must be set only with proof that the request did
    /// not run.
    pub fn end(&mut self, now: Time, service: &str, key: &Bytes, not_run: bool) {
        let id = (service.to_owned(), key.clone());
        let Some(record) = self.keys.get_mut(&id) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        record.maybe_run |= !not_run;
        record.last_change = now;
        match record.in_flight == 0 && !record.maybe_run {
            true => {
                self.keys.remove(&id);
            }
            // The retention counts from the end of a dispatch, since a long request may still be
            // retried after its end.
            false => self.expiry_queue.push_back((now, id)),
        }
    }

    /// Removes keys whose last dispatch ended more than the retention ago.
    pub fn prune(&mut self, now: Time) {
        while self.expiry_queue.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= RETENTION)
        {
            let Some((_, id)) = self.expiry_queue.pop_front() else { return };
            let expired = self.keys.get(&id).is_some_and(|record| {
                record.in_flight == 0 && now.saturating_sub(record.last_change) >= RETENTION
            });
            if expired {
                self.keys.remove(&id);
            }
        }
    }

    /// Returns the record of a key, if this entry dispatched it.
    pub fn get(&self, service: &str, key: &Bytes) -> Option<&DispatchRecord> {
        self.keys.get(&(service.to_owned(), key.clone()))
    }

    /// Iterates over the recorded keys of a service.
    pub fn keys<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Bytes, &'a DispatchRecord)> {
        let keys = self.keys.iter().filter(move |((name, _), _)| name == service);
        keys.map(|((_, key), record)| (key, record))
    }

    /// Returns the number of recorded keys of all services.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
