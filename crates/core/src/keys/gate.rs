//! Decides whether and where an entry may dispatch a request with a key.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;

use crate::id::{EntryId, Incarnation, ServiceId};
use crate::keys::{
    bucket_of, DispatchTable, Generation, Holder, KeyMap, Phase, Witness, RETENTION,
};
use crate::message::entry::ProbeReply;
use crate::time::{self, Time};

/// What to do with a request that has a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch to this holder; the dispatch is already recorded.
    Dispatch(Holder),
    /// Ask these entries about the key, then call [`Gate::decide_probed`].
    Probe { generation: Generation, witnesses: Vec<Witness> },
    /// The key may have run at an earlier holder; it is never dispatched again.
    Unknown,
    /// Nothing was dispatched and no holder may run the key now.
    NotRun,
}

/// Answer of one witness; `None` when it did not answer.
pub type ProbeResult = (Witness, Option<ProbeReply>);

#[derive(Debug, Default)]
struct Adopted {
    map: KeyMap,
    /// When this entry first saw each current move open.
    opened: BTreeMap<Generation, Time>,
}

#[derive(Debug)]
struct OpenBucket {
    holder: Holder,
    generation: Generation,
    witnesses: Vec<Witness>,
}

/// Key maps and dispatched keys of an entry.
#[derive(Debug)]
pub struct Gate {
    entry: EntryId,
    incarnation: Incarnation,
    outage_hold: Duration,
    /// Start of the last round in which the store took a heartbeat and gave the key maps.
    contact: Option<Time>,
    maps: HashMap<ServiceId, Adopted>,
    dispatched: DispatchTable,
}

impl Gate {
    /// Builds a gate that lets nothing pass until the first [`Gate::adopt`].
    pub fn new(entry: EntryId, incarnation: Incarnation, outage_hold: Duration) -> Self {
        Gate {
            entry,
            incarnation,
            outage_hold,
            contact: None,
            maps: HashMap::new(),
            dispatched: DispatchTable::default(),
        }
    }

    /// Takes over the key maps of a round that began at `start`. The round's heartbeat has to be
    /// written before the maps are read: a mover that does not find this entry's record can then
    /// rely on it to read the move.
    pub fn adopt(&mut self, start: Time, now: Time, maps: Vec<(ServiceId, KeyMap)>) {
        for (service, map) in maps {
            self.maps.entry(service).or_default().replace(now, map);
        }
        self.contact = Some(start);
    }

    /// Takes over one key map that was read from the store, or written to it, after the heartbeat
    /// of the current round. An older map is ignored.
    pub fn adopt_one(&mut self, now: Time, service: &str, map: KeyMap) {
        if self.contact.is_some() {
            self.maps.entry(service.to_owned()).or_default().replace(now, map);
        }
    }

    /// Stops all dispatches of keys, for a process that was replaced under its name.
    pub fn close(&mut self) {
        self.contact = None;
        self.maps.clear();
    }

    /// Forgets keys after the retention.
    pub fn prune(&mut self, now: Time) {
        self.dispatched.prune(now);
    }

    /// Returns the adopted generation of each service.
    pub fn generations(&self) -> BTreeMap<ServiceId, Generation> {
        self.maps.iter().map(|(service, a)| (service.clone(), a.map.generation)).collect()
    }

    /// Returns the adopted map of a service.
    pub fn map(&self, service: &str) -> Option<&KeyMap> {
        self.maps.get(service).map(|adopted| &adopted.map)
    }

    /// Returns the moves of a service that have been open here for the whole retention.
    pub fn settled(&self, now: Time, service: &str) -> Vec<Generation> {
        let Some(adopted) = self.maps.get(service) else { return Vec::new() };
        let old = |at: &Time| now.saturating_sub(*at) >= time::lease_wait(RETENTION);
        let known = adopted.map.moves.keys();
        known.filter(|g| adopted.opened.get(g).is_some_and(old)).copied().collect()
    }

    /// Answers a probe of another entry.
    pub fn probe(&self, service: &str, key: &Bytes) -> ProbeReply {
        match self.dispatched.get(service, key) {
            Some(dispatched) => ProbeReply::Dispatched {
                agent: dispatched.holder.agent.clone(),
                incarnation: dispatched.holder.incarnation,
            },
            None => ProbeReply::NotDispatched {
                entry: self.entry.clone(),
                incarnation: self.incarnation,
            },
        }
    }

    /// Decides about a request and records its dispatch. `is_live` tells whether a holder takes
    /// new work.
    pub fn decide(
        &mut self,
        now: Time,
        service: &str,
        key: &Bytes,
        is_live: impl Fn(&Holder) -> bool,
    ) -> Decision {
        let earlier = self.dispatched.get(service, key).map(|d| d.holder.clone());
        match (self.open(now, service, key), earlier) {
            (None, None) => Decision::NotRun,
            (None, Some(_)) => Decision::Unknown,
            (Some(open), None) if is_live(&open.holder) && !open.witnesses.is_empty() => {
                Decision::Probe { generation: open.generation, witnesses: open.witnesses }
            }
            (Some(open), earlier) => {
                self.dispatch(now, service, key, open.holder, earlier, is_live)
            }
        }
    }

    /// Decides again after the witnesses of `generation` were asked.
    pub fn decide_probed(
        &mut self,
        now: Time,
        service: &str,
        key: &Bytes,
        generation: Generation,
        results: &[ProbeResult],
        is_live: impl Fn(&Holder) -> bool,
    ) -> Decision {
        let earlier = self.dispatched.get(service, key).map(|d| d.holder.clone());
        match (self.open(now, service, key), earlier) {
            // Of another move that began meanwhile, the witnesses were not asked.
            (Some(open), earlier) if open.generation == generation => {
                match results.iter().all(|result| clears(result, &open.holder)) {
                    true => self.dispatch(now, service, key, open.holder, earlier, is_live),
                    false => Decision::Unknown,
                }
            }
            (_, Some(_)) => Decision::Unknown,
            (_, None) => Decision::NotRun,
        }
    }

    /// Records the end of a dispatch. `not_run` is set only with proof.
    pub fn finish(&mut self, now: Time, service: &str, key: &Bytes, not_run: bool) {
        self.dispatched.end(now, service, key, not_run);
    }

    fn dispatch(
        &mut self,
        now: Time,
        service: &str,
        key: &Bytes,
        holder: Holder,
        earlier: Option<Holder>,
        is_live: impl Fn(&Holder) -> bool,
    ) -> Decision {
        match earlier {
            Some(earlier) if earlier != holder => Decision::Unknown,
            Some(_) if !is_live(&holder) => Decision::Unknown,
            None if !is_live(&holder) => Decision::NotRun,
            Some(_) | None => {
                self.dispatched.begin(now, service, key, &holder);
                Decision::Dispatch(holder)
            }
        }
    }

    /// Returns the state of the key's bucket if this entry may dispatch to its holder.
    fn open(&self, now: Time, service: &str, key: &Bytes) -> Option<OpenBucket> {
        let contact = self.contact?;
        if now.saturating_sub(contact) >= self.outage_hold {
            return None;
        }
        let adopted = self.maps.get(service)?;
        let (bucket, witnesses) = adopted.map.bucket(bucket_of(key))?;
        if bucket.phase != Phase::Open {
            return None;
        }
        let opened = adopted.opened.get(&bucket.generation).copied().unwrap_or(now);
        let probed = now.saturating_sub(opened) < time::lease_wait(RETENTION);
        Some(OpenBucket {
            holder: bucket.holder.clone(),
            generation: bucket.generation,
            witnesses: if probed { witnesses.to_vec() } else { Vec::new() },
        })
    }
}

/// Tells whether a witness proves that the key was dispatched to no holder but `holder`.
fn clears((witness, reply): &ProbeResult, holder: &Holder) -> bool {
    match reply {
        Some(ProbeReply::Dispatched { agent, incarnation }) => {
            *agent == holder.agent && *incarnation == holder.incarnation
        }
        // A restarted process has lost what its predecessor dispatched.
        Some(ProbeReply::NotDispatched { entry, incarnation }) => {
            witness.complete && *entry == witness.entry && *incarnation == witness.incarnation
        }
        None => false,
    }
}

impl Adopted {
    fn replace(&mut self, now: Time, map: KeyMap) {
        if map.generation < self.map.generation {
            return;
        }
        self.map = map;
        let map = &self.map;
        self.opened.retain(|generation, _| map.moves.contains_key(generation));
        for bucket in map.buckets.iter().filter(|bucket| bucket.phase == Phase::Open) {
            if map.moves.contains_key(&bucket.generation) {
                self.opened.entry(bucket.generation).or_insert(now);
            }
        }
    }
}
