//! Decides whether, and to which holder, an entry may dispatch a request with an idempotency key.

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

/// Decision of an entry about a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to this holder; the gate has already recorded the dispatch.
    Dispatch(Holder),
    /// Ask these witnesses about the key and fetch their missing lists of dispatched keys, then
    /// call [`KeyGate::decide_probed`].
    Probe { generation: Generation, witnesses: Vec<Witness> },
    /// The key may have run at an earlier holder, so it must not be dispatched again.
    Unknown,
    /// No holder may run the key now, and it is not known whether the key ran before. Ask all
    /// entries, then call [`KeyGate::confirm_not_run`].
    Refuse,
}

/// A witness that was probed and its answer, or `None` when it did not answer.
pub type ProbeResult = (Witness, Option<ProbeReply>);

/// The key map of one service that this entry applies, with the state of its moves.
#[derive(Debug, Default)]
struct AdoptedMap {
    map: KeyMap,
    /// Time at which this entry first saw a bucket of each move open, by generation.
    open_since: BTreeMap<Generation, Time>,
    /// Generation up to which this entry had acknowledged moves before it adopted `map`.
    acknowledged: Generation,
    /// Time at which the first generation after `acknowledged` was adopted.
    adopted_at: Time,
    /// Generation up to which another entry has fetched this entry's list of dispatched keys.
    copied_generation: Generation,
}

/// A bucket whose keys may be dispatched, with the witnesses that must be asked first.
#[derive(Debug)]
struct OpenBucket {
    holder: Holder,
    generation: Generation,
    witnesses: Vec<Witness>,
}

/// Decides about requests with idempotency keys from the adopted key maps, the keys that this
/// entry dispatched and the lists of keys that other entries dispatched.
#[derive(Debug)]
pub struct KeyGate {
    entry: EntryId,
    incarnation: Incarnation,
    /// Time for which keys may be dispatched without contact to the store.
    outage_hold: Duration,
    /// Start of the last round that wrote a heartbeat to the store and read the key maps.
    last_sync: Option<Time>,
    /// End of the first round that did both.
    first_sync: Option<Time>,
    /// An earlier incarnation of this entry had joined, so the other entries know its name.
    rejoined: bool,
    maps: HashMap<ServiceId, AdoptedMap>,
    /// Keys that this incarnation dispatched.
    dispatched: DispatchTable,
    /// Lists of keys that witnesses dispatched before moves.
    lists: Lists,
    /// Keys that the previous incarnation of this entry dispatched.
    recovered: RecoveredKeys,
}

impl KeyGate {
    /// Builds a gate that allows no dispatch until the first [`KeyGate::adopt`].
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

    /// Adopts the key maps read in a round that began at `start`. The round must write this
    /// entry's heartbeat before it reads the maps: an entry that moves buckets and finds no record
    /// of this entry can then rely on it to read the move.
    pub fn adopt(&mut self, start: Time, now: Time, maps: Vec<(ServiceId, KeyMap)>) {
        for (service, map) in maps {
            self.replace_map(now, service, map);
        }
        self.last_sync = Some(start);
        self.first_sync.get_or_insert(now);
    }

    /// Records that an earlier incarnation of this entry had joined, so that [`JOIN_DELAY`] is
    /// skipped.
    pub fn set_rejoined(&mut self) {
        self.rejoined = true;
    }

    /// Tells whether this entry may dispatch keys, since each recent list of entries names it.
    pub fn is_joined(&self, now: Time) -> bool {
        self.rejoined || self.first_sync.is_some_and(|at| now.saturating_sub(at) >= JOIN_DELAY)
    }

    /// Adopts one key map that was read from the store or written to it after the heartbeat of the
    /// current round. A map with a lower generation than the adopted one is ignored.
    pub fn adopt_one(&mut self, now: Time, service: &str, map: KeyMap) {
        if self.last_sync.is_some() {
            self.replace_map(now, service.to_owned(), map);
        }
    }

    /// Forbids all further dispatches, because another process runs under this entry's name.
    pub fn close(&mut self) {
        self.last_sync = None;
        self.maps.clear();
        self.lists.clear();
    }

    /// Removes keys that were dispatched more than the retention ago.
    pub fn prune(&mut self, now: Time) {
        self.dispatched.prune(now);
        self.recovered.prune(now);
    }

    /// Sets the previous incarnation of this entry, whose table of dispatched keys covered the
    /// whole retention, so that its keys can be recovered from the holders. See
    /// [`KeyGate::recovery_sources`].
    pub fn set_predecessor(&mut self, predecessor: Incarnation) {
        self.recovered.set_predecessor(predecessor);
    }

    /// Tells whether all keys that the previous incarnation dispatched are recovered.
    pub fn is_recovered(&self) -> bool {
        self.recovered.is_complete()
    }

    /// Returns the previous incarnation of this entry, and the holders whose key tables must be
    /// read to recover its keys, with their services. Returns `None` when there is nothing to
    /// recover, or when a part cannot be recovered.
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

    /// Recovers keys of the previous incarnation from the complete key table of a holder. The
    /// holder must have refused requests of that incarnation since before the table was read.
    /// Skips buckets for which the list of keys sent to older holders is missing.
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

    /// Returns the dispatch of a key by this or the previous incarnation of this entry.
    fn prior_dispatch(&self, service: &str, key: &Bytes) -> Option<PriorDispatch> {
        match self.dispatched.get(service, key) {
            Some(own) => Some(PriorDispatch::new(own)),
            None => self.recovered.get(service, key).cloned(),
        }
    }

    /// Returns the generation of the adopted key map of each service.
    pub fn generations(&self) -> BTreeMap<ServiceId, Generation> {
        self.maps.iter().map(|(service, a)| (service.clone(), a.map.generation)).collect()
    }

    /// Returns the generation of each service up to which this entry acknowledges moves. A move is
    /// acknowledged once it is adopted and another entry has fetched this entry's list of
    /// dispatched keys, or had [`LIST_COPY_LIMIT`] to do so. If a move opened earlier, the death
    /// of this entry would lose the list.
    pub fn acknowledged(&self, now: Time) -> BTreeMap<ServiceId, Generation> {
        let own = (self.entry.as_str(), self.incarnation);
        self.maps.iter().map(|(service, a)| (service.clone(), a.acknowledged(now, own))).collect()
    }

    /// Records that another entry has fetched the last page of a list of dispatched keys. Does
    /// nothing when the requested list is not this entry's own.
    pub fn note_copied(&mut self, request: &KeyListRequest) {
        if (&request.entry, request.incarnation) == (&self.entry, self.incarnation) {
            if let Some(adopted) = self.maps.get_mut(&request.service) {
                adopted.copied_generation = adopted.copied_generation.max(request.generation);
            }
        }
    }

    /// Returns the adopted key map of a service.
    pub fn map(&self, service: &str) -> Option<&KeyMap> {
        self.maps.get(service).map(|adopted| &adopted.map)
    }

    /// Returns the generations of the moves that this entry has seen open for the retention.
    pub fn expired_moves(&self, now: Time, service: &str) -> Vec<Generation> {
        let Some(adopted) = self.maps.get(service) else { return Vec::new() };
        let old = |at: &Time| now.saturating_sub(*at) >= time::lease_wait(RETENTION);
        let moves = adopted.map.moves.keys();
        moves.filter(|g| adopted.open_since.get(g).is_some_and(old)).copied().collect()
    }

    /// Answers another entry's question whether this entry dispatched a key.
    pub fn probe(&self, service: &str, key: &Bytes) -> ProbeReply {
        match self.prior_dispatch(service, key) {
            Some(prior) => {
                // An empty agent name matches no holder, so the asking entry does not dispatch.
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

    /// Decides about a request with `key`, and records the dispatch if the decision is to dispatch.
    /// `is_live` tells whether a holder accepts new work.
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

    /// Decides again about a request with the answers of the witnesses that
    /// [`Decision::Probe`] named for `generation`.
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
            // If the bucket has moved again, the witnesses of the new move were not asked.
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

    /// Tells whether a key that is not dispatched now certainly never ran. This holds when each
    /// entry of `current`, including this one, has a complete table and did not dispatch the key.
    /// `current` must have been listed from the store, at `listed`, less than [`LIST_AGE_LIMIT`]
    /// ago, since an older list may omit an entry that joined later.
    ///
    /// A list of keys dispatched before a move is no proof here: the move may be open without this
    /// entry knowing, and the witness may have dispatched the key to the new holder.
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

    /// Returns the reason why a request with `key` ends as `unknown`, for logs and error messages.
    pub fn unknown_cause(&self, now: Time, service: &str, key: &Bytes) -> &'static str {
        let Some(open) = self.open_bucket(now, service, key) else {
            return match self.prior_dispatch(service, key) {
                Some(_) => "the key was dispatched before, and its bucket is not open",
                None => "the bucket is not open, and an entry may have dispatched the key",
            };
        };
        let unlisted =
            |w: &Witness| self.excludes_dispatch(service, open.generation, w, key).is_none();
        match () {
            () if self.prior_dispatch(service, key).is_some() => "the key was dispatched before",
            () if self.lists.contains(service, key) => "another entry dispatched the key before",
            () if open.witnesses.iter().any(|w| !w.complete) => {
                "an entry restarted and lost its list of dispatched keys"
            }
            () if open.witnesses.iter().any(unlisted) => {
                "an entry's list of dispatched keys is missing"
            }
            () => "the holder is gone, and an entry may have dispatched the key",
        }
    }

    /// Returns requests for the lists of dispatched keys that this entry does not hold yet, for
    /// moves within the retention. The witness, or another entry that holds its list, answers them.
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

    /// Answers a request for a page of the keys that a witness dispatched before a move.
    pub fn list(&self, request: &KeyListRequest) -> KeyListReply {
        if (&request.entry, request.incarnation) != (&self.entry, self.incarnation) {
            return self.lists.page(request);
        }
        let adopted = self.maps.get(&request.service).map(|adopted| adopted.map.generation);
        // Until the move is adopted, keys may still be dispatched to older holders.
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

    /// Stores the complete list of `request`, unless the move is no longer in the key map.
    pub fn store_list(&mut self, request: &KeyListRequest, keys: BTreeSet<KeyHash>) {
        let map = self.maps.get(&request.service).map(|adopted| &adopted.map);
        if map.is_some_and(|map| map.moves.contains_key(&request.generation)) {
            self.lists.insert(request, keys);
        }
    }

    /// Records the end of a dispatch. `not_run` must be set only with proof that the request did
    /// not run.
    pub fn finish(&mut self, now: Time, service: &str, key: &Bytes, not_run: bool) {
        self.dispatched.end(now, service, key, not_run);
    }

    /// Tells whether a witness certainly did not dispatch the key before a move, according to this
    /// entry's own records and the lists it holds. Returns `None` when the witness must be asked.
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

    /// Adopts one key map and drops the lists of moves that are no longer in it.
    fn replace_map(&mut self, now: Time, service: ServiceId, map: KeyMap) {
        let adopted = self.maps.entry(service.clone()).or_default();
        adopted.replace(now, map, (&self.entry, self.incarnation));
        let moves = &adopted.map.moves;
        self.lists.retain(&service, |generation| moves.contains_key(&generation));
    }

    /// Dispatches a key to the holder of its open bucket, unless the holder is not live or a prior
    /// dispatch went elsewhere. `prior` is `Some(None)` for a prior dispatch to an unknown holder.
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

    /// Returns the key's bucket if this entry may dispatch to its holder.
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

/// Tells whether a witness's answer proves that it dispatched the key to no holder but `holder`.
fn excludes_others((witness, reply): &ProbeResult, holder: &Holder) -> bool {
    match reply {
        Some(ProbeReply::Dispatched { agent, incarnation }) => {
            *agent == holder.agent && *incarnation == holder.incarnation
        }
        // A restarted entry no longer knows which keys its previous incarnation dispatched.
        Some(ProbeReply::NotDispatched { entry, incarnation }) => {
            witness.complete && *entry == witness.entry && *incarnation == witness.incarnation
        }
        None => false,
    }
}

impl AdoptedMap {
    /// Returns the generation up to which the entry acknowledges moves.
    fn acknowledged(&self, now: Time, (entry, incarnation): (&str, Incarnation)) -> Generation {
        let generation = self.map.generation;
        let witnesses = self.map.moves.get(&generation).map_or(&[][..], Vec::as_slice);
        // No entry fetches the list of a witness whose table is incomplete.
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

    /// Replaces the map, unless the new one has a lower generation.
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
