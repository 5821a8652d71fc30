//! Decides whether and where an entry may dispatch a request with a key.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;

use crate::id::{EntryId, Incarnation, ServiceId};
use crate::keys::lists::{self, KeyHash, Lists};
use crate::keys::recovered::{self, ListState, PriorDispatch, RecoveredKeys};
use crate::keys::{
    bucket_of, DispatchRecord, DispatchTable, Generation, Holder, KeyMap, Phase, Witness,
    JOIN_DELAY, LIST_AGE_LIMIT, LIST_COPY_LIMIT, RETENTION,
};
use crate::message::entry::{KeyListReply, KeyListRequest, ProbeReply, TableKey};
use crate::time::{self, Time};

/// What to do with a request that has a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch to this holder; the dispatch is already recorded.
    Dispatch(Holder),
    /// Ask these entries about the key, and for the lists that are lacking, then call
    /// [`Gate::decide_probed`].
    Probe { generation: Generation, witnesses: Vec<Witness> },
    /// The key may have run at an earlier holder; it is never dispatched again.
    Unknown,
    /// No holder may run the key now. Whether it was run before is open: ask all entries, then
    /// call [`Gate::confirm`].
    Refuse,
}

/// Answer of one witness; `None` when it did not answer.
pub type ProbeResult = (Witness, Option<ProbeReply>);

#[derive(Debug, Default)]
struct AdoptedMap {
    map: KeyMap,
    /// When this entry first saw each current move open.
    open_since: BTreeMap<Generation, Time>,
    /// Generation up to which this entry acknowledged moves before it adopted `map`.
    acknowledged: Generation,
    /// When the first generation after `acknowledged` was adopted.
    adopted_at: Time,
    /// Generation up to which another entry has fetched this entry's list.
    copied_generation: Generation,
}

#[derive(Debug)]
struct OpenBucket {
    holder: Holder,
    generation: Generation,
    witnesses: Vec<Witness>,
}

/// Key maps and dispatched keys of an entry.
#[derive(Debug)]
pub struct KeyGate {
    entry: EntryId,
    incarnation: Incarnation,
    outage_hold: Duration,
    /// Start of the last round in which the store took a heartbeat and gave the key maps.
    last_sync: Option<Time>,
    /// End of the first such round.
    first_sync: Option<Time>,
    /// The other entries know this entry's name from an earlier incarnation.
    rejoined: bool,
    maps: HashMap<ServiceId, AdoptedMap>,
    dispatched: DispatchTable,
    lists: Lists,
    recovered: RecoveredKeys,
}

impl KeyGate {
    /// Builds a gate that lets nothing pass until the first [`Gate::adopt`].
    pub fn new(entry: EntryId, incarnation: Incarnation, outage_hold: Duration) -> Self {
        KeyGate {
            entry,
            incarnation,
            outage_hold,
            last_sync: None,
            first_sync: None,
            rejoined: false,
            maps: HashMap::new(),
            dispatched: DispatchTable::default(),
            lists: Lists::default(),
            recovered: RecoveredKeys::default(),
        }
    }

    /// Takes over the key maps of a round that began at `start`. The round's heartbeat has to be
    /// written before the maps are read: a mover that does not find this entry's record can then
    /// rely on it to read the move.
    pub fn adopt(&mut self, start: Time, now: Time, maps: Vec<(ServiceId, KeyMap)>) {
        for (service, map) in maps {
            self.replace_map(now, service, map);
        }
        self.last_sync = Some(start);
        self.first_sync.get_or_insert(now);
    }

    /// Notes that an earlier incarnation of this entry had joined.
    pub fn set_rejoined(&mut self) {
        self.rejoined = true;
    }

    /// Tells whether the other entries know this one well enough for it to dispatch keys.
    pub fn is_joined(&self, now: Time) -> bool {
        self.rejoined || self.first_sync.is_some_and(|at| now.saturating_sub(at) >= JOIN_DELAY)
    }

    /// Takes over one key map that was read from the store, or written to it, after the heartbeat
    /// of the current round. An older map is ignored.
    pub fn adopt_one(&mut self, now: Time, service: &str, map: KeyMap) {
        if self.last_sync.is_some() {
            self.replace_map(now, service.to_owned(), map);
        }
    }

    /// Stops all dispatches of keys, for a process that was replaced under its name.
    pub fn close(&mut self) {
        self.last_sync = None;
        self.maps.clear();
        self.lists.clear();
    }

    /// Forgets keys after the retention.
    pub fn prune(&mut self, now: Time) {
        self.dispatched.prune(now);
        self.recovered.prune(now);
    }

    /// Notes the incarnation before this one, whose table covered the whole retention. What it
    /// dispatched can then be taken over from the holders; see [`Gate::recover`].
    pub fn set_predecessor(&mut self, predecessor: Incarnation) {
        self.recovered.set_predecessor(predecessor);
    }

    /// Tells whether this entry has taken over all that its predecessor dispatched.
    pub fn is_recovered(&self) -> bool {
        self.recovered.is_complete()
    }

    /// Returns the predecessor and the holders whose tables are to be read, with their services.
    /// Empty when all is taken over, or when a part of it is lost.
    pub fn recovery_sources(&self) -> Option<(Incarnation, Vec<(ServiceId, Holder)>)> {
        let predecessor = self.recovered.pending().filter(|_| self.last_sync.is_some())?;
        let own = (self.entry.as_str(), self.incarnation);
        let mut holders = BTreeSet::new();
        for (service, adopted) in &self.maps {
            for (index, bucket) in adopted.map.buckets.iter().enumerate() {
                match recovered::list_state(service, &adopted.map, index, own, &self.lists) {
                    _ if self.recovered.has_bucket(service, index) => {}
                    ListState::Held => {
                        let Holder { agent, incarnation } = &bucket.holder;
                        holders.insert((service.clone(), agent.clone(), *incarnation));
                    }
                    ListState::Missing => {}
                    ListState::Lost => return None,
                }
            }
        }
        let holder = |(service, agent, incarnation)| (service, Holder { agent, incarnation });
        Some((predecessor, holders.into_iter().map(holder).collect()))
    }

    /// Takes over the whole table of a holder, which refuses requests of the predecessor since
    /// before the table was read. Buckets whose older holders may have run more are left out.
    pub fn recover_from(&mut self, now: Time, service: &str, holder: &Holder, table: &[TableKey]) {
        let Some(adopted) = self.maps.get(service) else { return };
        if self.recovered.pending().is_none() {
            return;
        }
        let own = (self.entry.as_str(), self.incarnation);
        let known = |index: &usize| {
            recovered::list_state(service, &adopted.map, *index, own, &self.lists)
                == ListState::Held
        };
        let mut buckets = recovered::held_by(&adopted.map, holder);
        buckets.retain(known);
        self.recovered.add_table(now, service, &adopted.map, (holder, &buckets), table);
        let all_recovered = self.maps.iter().all(|(service, adopted)| {
            (0..adopted.map.buckets.len()).all(|index| self.recovered.has_bucket(service, index))
        });
        if all_recovered {
            for service in self.maps.keys() {
                let hashes = self.lists.hashes(service, &self.entry);
                self.recovered.add_list(service, hashes);
            }
            self.recovered.set_complete();
        }
    }

    /// Returns the dispatch of a key by this entry or its predecessor.
    fn prior_dispatch(&self, service: &str, key: &Bytes) -> Option<PriorDispatch> {
        match self.dispatched.get(service, key) {
            Some(own) => Some(PriorDispatch::new(own)),
            None => self.recovered.get(service, key).cloned(),
        }
    }

    /// Returns the adopted generation of each service.
    pub fn generations(&self) -> BTreeMap<ServiceId, Generation> {
        self.maps.iter().map(|(service, a)| (service.clone(), a.map.generation)).collect()
    }

    /// Returns the generation of each service up to which this entry acknowledges moves: it has
    /// adopted the move, and another entry holds its list or had [`COPY_LIMIT`] to fetch it. A
    /// move that opens before that loses the list with this entry.
    pub fn acknowledged(&self, now: Time) -> BTreeMap<ServiceId, Generation> {
        let own = (self.entry.as_str(), self.incarnation);
        self.maps.iter().map(|(service, a)| (service.clone(), a.acknowledged(now, own))).collect()
    }

    /// Notes that another entry has fetched a list as a whole. The list that the request names is
    /// this entry's, or the note has no effect.
    pub fn note_copied(&mut self, request: &KeyListRequest) {
        if (&request.entry, request.incarnation) == (&self.entry, self.incarnation) {
            if let Some(adopted) = self.maps.get_mut(&request.service) {
                adopted.copied_generation = adopted.copied_generation.max(request.generation);
            }
        }
    }

    /// Returns the adopted map of a service.
    pub fn map(&self, service: &str) -> Option<&KeyMap> {
        self.maps.get(service).map(|adopted| &adopted.map)
    }

    /// Returns the moves of a service that have been open here for the whole retention.
    pub fn expired_moves(&self, now: Time, service: &str) -> Vec<Generation> {
        let Some(adopted) = self.maps.get(service) else { return Vec::new() };
        let old = |at: &Time| now.saturating_sub(*at) >= time::lease_wait(RETENTION);
        let moves = adopted.map.moves.keys();
        moves.filter(|g| adopted.open_since.get(g).is_some_and(old)).copied().collect()
    }

    /// Answers a probe of another entry.
    pub fn probe(&self, service: &str, key: &Bytes) -> ProbeReply {
        match self.prior_dispatch(service, key) {
            Some(prior) => {
                // No agent has an empty name.
                let unknown_holder = || Holder { agent: String::new(), incarnation: 0 };
                let Holder { agent, incarnation } = prior.holder.unwrap_or_else(unknown_holder);
                ProbeReply::Dispatched { agent, incarnation }
            }
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
        let prior = self.prior_dispatch(service, key).map(|prior| prior.holder);
        match (self.open_bucket(now, service, key), prior) {
            (None, None) => Decision::Refuse,
            (None, Some(_)) => Decision::Unknown,
            (Some(open), Some(prior)) => {
                self.dispatch(now, service, key, open, Some(prior), is_live)
            }
            (Some(open), None) => {
                let excluded =
                    |w: &Witness| self.excludes_dispatch(service, open.generation, w, key);
                if open.witnesses.iter().any(|w| excluded(w) == Some(false)) {
                    return Decision::Unknown;
                }
                let unresolved = |w: &&Witness| excluded(w).is_none();
                let witnesses: Vec<_> = open.witnesses.iter().filter(unresolved).cloned().collect();
                match witnesses.is_empty() || !is_live(&open.holder) {
                    true => self.dispatch(now, service, key, open, None, is_live),
                    false => Decision::Probe { generation: open.generation, witnesses },
                }
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
        let prior = self.prior_dispatch(service, key).map(|prior| prior.holder);
        match (self.open_bucket(now, service, key), prior) {
            // Of another move that began meanwhile, the witnesses were not asked.
            (Some(open), prior) if open.generation == generation => {
                let excluded = |w: &Witness| match self
                    .excludes_dispatch(service, generation, w, key)
                {
                    Some(excluded) => excluded,
                    None => results.iter().any(|r| r.0 == *w && excludes_others(r, &open.holder)),
                };
                match open.witnesses.iter().all(excluded) {
                    true => self.dispatch(now, service, key, open, prior, is_live),
                    false => Decision::Unknown,
                }
            }
            (_, Some(_)) => Decision::Unknown,
            (_, None) => Decision::Refuse,
        }
    }

    /// Tells whether a key that is not dispatched now was certainly never run: each entry of
    /// `current`, listed from the store at `listed`, was asked, has a complete table, and
    /// dispatched it nowhere, this one included. An older list may lack an entry that joined.
    ///
    /// A list of a move does not clear a witness here: this entry may not know yet that the move
    /// is open, and the witness may have dispatched the key to the new holder.
    pub fn confirm_not_run(
        &self,
        now: Time,
        service: &str,
        key: &Bytes,
        (listed, current): (Option<Time>, &[Witness]),
        results: &[ProbeResult],
    ) -> bool {
        let is_self = |w: &Witness| w.entry == self.entry && w.incarnation == self.incarnation;
        let recent = listed.is_some_and(|at| now.saturating_sub(at) < LIST_AGE_LIMIT);
        let denies = |witness: &Witness| {
            results.iter().any(|(asked, reply)| match reply {
                Some(ProbeReply::NotDispatched { entry, incarnation }) => {
                    asked == witness
                        && *entry == witness.entry
                        && *incarnation == witness.incarnation
                }
                Some(ProbeReply::Dispatched { .. }) | None => false,
            })
        };
        recent
            && self.prior_dispatch(service, key).is_none()
            && !self.lists.contains(service, key)
            && current.iter().any(is_self)
            && current.iter().all(|w| w.complete && (is_self(w) || denies(w)))
    }

    /// Tells why a key is `unknown`, for logs and error messages.
    pub fn unknown_cause(&self, now: Time, service: &str, key: &Bytes) -> &'static str {
        let Some(open) = self.open_bucket(now, service, key) else {
            return match self.prior_dispatch(service, key) {
                Some(_) => "dispatched before, and its bucket is closed",
                None => "its bucket is closed, and not all entries deny it",
            };
        };
        let unlisted =
            |w: &Witness| self.excludes_dispatch(service, open.generation, w, key).is_none();
        match () {
            () if self.prior_dispatch(service, key).is_some() => "dispatched before",
            () if self.lists.contains(service, key) => "dispatched by another entry before",
            () if open.witnesses.iter().any(|w| !w.complete) => {
                "an entry restarted without its list of keys"
            }
            () if open.witnesses.iter().any(unlisted) => "the list of keys of an entry is lacking",
            () => "its holder is gone, and not all entries deny it",
        }
    }

    /// Lists what is lacking of the lists of the moves that matter, to be fetched from the witness
    /// itself or from another entry that holds its list.
    pub fn missing(&self, now: Time) -> Vec<KeyListRequest> {
        let mut missing = Vec::new();
        for (service, adopted) in &self.maps {
            for (generation, witnesses) in &adopted.map.moves {
                let open_since = adopted.open_since.get(generation).copied().unwrap_or(now);
                if now.saturating_sub(open_since) >= time::lease_wait(RETENTION) {
                    continue;
                }
                let buckets = lists::move_mask(&adopted.map.buckets, *generation);
                let requests =
                    witnesses.iter().filter(|w| w.complete).map(|witness| KeyListRequest {
                        service: service.clone(),
                        generation: *generation,
                        entry: witness.entry.clone(),
                        incarnation: witness.incarnation,
                        buckets,
                        after: None,
                    });
                missing.extend(requests.filter(|request| {
                    let own = (&request.entry, request.incarnation);
                    own != (&self.entry, self.incarnation) && !self.lists.holds(request)
                }));
            }
        }
        missing
    }

    /// Answers a request for a list.
    pub fn list(&self, request: &KeyListRequest) -> KeyListReply {
        if (&request.entry, request.incarnation) != (&self.entry, self.incarnation) {
            return self.lists.page(request);
        }
        let adopted = self.maps.get(&request.service).map(|adopted| adopted.map.generation);
        // Before the move is adopted, keys may still be dispatched to the older holders.
        if self.last_sync.is_none() || adopted.is_none_or(|adopted| adopted < request.generation) {
            return KeyListReply::NotHeld;
        }
        let keys = self.dispatched.keys(&request.service);
        let listed = |key: &Bytes, record: &DispatchRecord| {
            request.buckets & (1 << bucket_of(key)) != 0 && record.generation != request.generation
        };
        let older = keys
            .filter(|(key, record)| listed(key, record))
            .map(|(key, _)| lists::hash_of(key))
            .chain(self.recovered.hashes_before(
                &request.service,
                request.buckets,
                request.generation,
            ))
            .filter(|hash| request.after.is_none_or(|after| *hash > after));
        lists::page(older.collect::<BTreeSet<_>>().into_iter())
    }

    /// Keeps a whole list.
    pub fn store_list(&mut self, request: &KeyListRequest, keys: BTreeSet<KeyHash>) {
        let map = self.maps.get(&request.service).map(|adopted| &adopted.map);
        if map.is_some_and(|map| map.moves.contains_key(&request.generation)) {
            self.lists.insert(request, keys);
        }
    }

    /// Records the end of a dispatch. `not_run` is set only with proof.
    pub fn finish(&mut self, now: Time, service: &str, key: &Bytes, not_run: bool) {
        self.dispatched.end(now, service, key, not_run);
    }

    /// Tells from this entry's own memory and the lists whether a witness certainly did not
    /// dispatch the key before a move; `None` when it has to be asked.
    fn excludes_dispatch(
        &self,
        service: &str,
        generation: Generation,
        witness: &Witness,
        key: &Bytes,
    ) -> Option<bool> {
        let Witness { entry, incarnation, complete, .. } = witness;
        if *entry == self.entry && *incarnation == self.incarnation {
            let prior = self.prior_dispatch(service, key);
            return Some(*complete && prior.is_none_or(|e| e.generation == generation));
        }
        let dispatched = self.lists.dispatched(service, generation, (entry, *incarnation), key)?;
        Some(*complete && !dispatched)
    }

    fn replace_map(&mut self, now: Time, service: ServiceId, map: KeyMap) {
        let adopted = self.maps.entry(service.clone()).or_default();
        adopted.replace(now, map, (&self.entry, self.incarnation));
        let moves = &adopted.map.moves;
        self.lists.retain(&service, |generation| moves.contains_key(&generation));
    }

    fn dispatch(
        &mut self,
        now: Time,
        service: &str,
        key: &Bytes,
        open: OpenBucket,
        prior: Option<Option<Holder>>,
        is_live: impl Fn(&Holder) -> bool,
    ) -> Decision {
        let OpenBucket { holder, generation, .. } = open;
        match prior {
            Some(prior) if prior.as_ref() != Some(&holder) => Decision::Unknown,
            Some(_) if !is_live(&holder) => Decision::Unknown,
            None if !is_live(&holder) => Decision::Refuse,
            Some(_) | None => {
                self.dispatched.begin(now, service, key, (&holder, generation));
                Decision::Dispatch(holder)
            }
        }
    }

    /// Returns the state of the key's bucket if this entry may dispatch to its holder.
    fn open_bucket(&self, now: Time, service: &str, key: &Bytes) -> Option<OpenBucket> {
        let last_sync = self.last_sync?;
        if now.saturating_sub(last_sync) >= self.outage_hold || !self.is_joined(now) {
            return None;
        }
        let adopted = self.maps.get(service)?;
        let (bucket, witnesses) = adopted.map.bucket(bucket_of(key))?;
        if bucket.phase != Phase::Open {
            return None;
        }
        let open_since = adopted.open_since.get(&bucket.generation).copied().unwrap_or(now);
        let needs_probe = now.saturating_sub(open_since) < time::lease_wait(RETENTION);
        Some(OpenBucket {
            holder: bucket.holder.clone(),
            generation: bucket.generation,
            witnesses: if needs_probe { witnesses.to_vec() } else { Vec::new() },
        })
    }
}

/// Tells whether a witness proves that the key was dispatched to no holder but `holder`.
fn excludes_others((witness, reply): &ProbeResult, holder: &Holder) -> bool {
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

impl AdoptedMap {
    fn acknowledged(&self, now: Time, (entry, incarnation): (&str, Incarnation)) -> Generation {
        let generation = self.map.generation;
        let witnesses = self.map.moves.get(&generation).map_or(&[][..], Vec::as_slice);
        // Nobody fetches the list of a witness whose table is not complete.
        let listed = witnesses
            .iter()
            .any(|w| w.entry == entry && w.incarnation == incarnation && w.complete)
            && witnesses.iter().any(|w| w.entry != entry);
        let waited = now.saturating_sub(self.adopted_at) >= LIST_COPY_LIMIT;
        match !listed || self.copied_generation >= generation || waited {
            true => generation,
            false => self.acknowledged,
        }
    }

    fn replace(&mut self, now: Time, map: KeyMap, own: (&str, Incarnation)) {
        if map.generation < self.map.generation {
            return;
        }
        let acknowledged = self.acknowledged(now, own);
        if map.generation > self.map.generation && acknowledged == self.map.generation {
            (self.acknowledged, self.adopted_at) = (acknowledged, now);
        }
        self.map = map;
        let map = &self.map;
        self.open_since.retain(|generation, _| map.moves.contains_key(generation));
        for bucket in map.buckets.iter().filter(|bucket| bucket.phase == Phase::Open) {
            if map.moves.contains_key(&bucket.generation) {
                self.open_since.entry(bucket.generation).or_insert(now);
            }
        }
    }
}
