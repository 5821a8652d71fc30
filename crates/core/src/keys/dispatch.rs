//! Keys that an entry has dispatched.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use crate::id::ServiceId;
use crate::keys::{Generation, Holder, RETENTION};
use crate::time::Time;

/// A dispatch of a key by this entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchRecord {
    pub holder: Holder,
    /// Generation of the bucket at the first dispatch.
    pub generation: Generation,
    /// Dispatches whose result is not known yet.
    in_flight: u32,
    /// A dispatch ended with anything but a certain `not run`.
    maybe_run: bool,
    last_change: Time,
}

type Key = (ServiceId, Bytes);

/// Table of dispatched keys. A key is entered before its request is sent, and removed early only
/// when each of its dispatches was certainly not run.
#[derive(Debug, Default)]
pub struct DispatchTable {
    keys: HashMap<Key, DispatchRecord>,
    expiry_queue: VecDeque<(Time, Key)>,
}

impl DispatchTable {
    /// Records a dispatch.
    ///
    /// # Panics
    ///
    /// Panics when the key was dispatched to another holder: the caller has to ask first.
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

    /// Records the end of a dispatch. `not_run` is set only with proof.
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
            // The retention counts from the end: a long request may still be retried after it.
            false => self.expiry_queue.push_back((now, id)),
        }
    }

    /// Forgets keys after the retention.
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

    /// Returns the dispatch of a key.
    pub fn get(&self, service: &str, key: &Bytes) -> Option<&DispatchRecord> {
        self.keys.get(&(service.to_owned(), key.clone()))
    }

    /// Iterates over the remembered keys of a service with their dispatches.
    pub fn keys<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Bytes, &'a DispatchRecord)> {
        let keys = self.keys.iter().filter(move |((name, _), _)| name == service);
        keys.map(|((_, key), record)| (key, record))
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
