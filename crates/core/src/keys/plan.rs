//! Plans which buckets move to new holders, and when moved buckets open.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::hash;
use crate::id::ServiceId;
use crate::keys::{
    Bucket, BucketIndex, Generation, Holder, KeyMap, Phase, Witness, BUCKETS, RETENTION,
};
use crate::membership::{EntryRecord, EntryView};
use crate::time::{self, Time};

/// Time for which a holder has to be missing before its buckets move, in addition to the expiry of
/// its announcements. Allows an agent to reconnect and an entry that has just started to hear it.
const MISSING_GRACE: Duration = Duration::from_secs(2);
/// Time for which a holder that this entry has never heard has to be missing before its buckets
/// move. Agents find a restarted entry only after another entry has listed its record and told
/// them, which takes several rounds when the store fails. With 2 s, a restarted entry moved the
/// buckets of live holders.
const UNHEARD_GRACE: Duration = Duration::from_secs(10);
/// Time between the first live agent of a service and the first assignment of its buckets, so that
/// agents which start together share the buckets.
const ASSIGNMENT_DELAY: Duration = Duration::from_secs(3);

/// State of one service as this entry sees it, from which [`Planner`] plans moves.
///
/// `map` has to be read from the store before `records` are listed. An entry that is not among the
/// records then reads this map, or a later one, before it dispatches a key.
#[derive(Debug)]
pub struct ServiceView<'a> {
    pub service: &'a str,
    /// Current key map of the service.
    pub map: &'a KeyMap,
    /// Agent incarnations that accept new work, in a stable order.
    pub live: &'a [Holder],
    /// Agent incarnations that are shutting down; their buckets move without a grace time.
    pub leaving: &'a [Holder],
    /// Records of all entries, each with the time since its last heartbeat.
    pub records: &'a [(EntryRecord, Duration)],
    /// Generations of moves that this entry has seen open for the retention.
    pub expired_moves: &'a [Generation],
}

/// Plans the moves of buckets, as one entry sees holders and entries.
#[derive(Debug)]
pub struct Planner {
    /// Time for which an entry may dispatch keys without contact to the store.
    outage_hold: Duration,
    /// Time since which each holder in a key map is not live.
    missing_since: HashMap<(ServiceId, Holder), Time>,
    /// Holders in a key map that this entry has seen live.
    seen_live: HashSet<(ServiceId, Holder)>,
    /// Time since which each service has had a live agent.
    first_live: HashMap<ServiceId, Time>,
}

/// Returns the entry that plans the moves of `service`. Entries that disagree about which entries
/// are alive may both try; the compare-and-swap on the key map lets one of them succeed.
pub fn coordinator<'a>(service: &str, alive: &'a [EntryView]) -> Option<&'a EntryView> {
    alive.iter().max_by_key(|view| hash::rendezvous(service.as_bytes(), view.entry.as_bytes()))
}

impl Planner {
    /// Builds a planner that has seen no holders yet.
    pub fn new(outage_hold: Duration) -> Self {
        Planner {
            outage_hold,
            missing_since: HashMap::new(),
            seen_live: HashSet::new(),
            first_live: HashMap::new(),
        }
    }

    /// Returns the next key map, to be written by compare-and-swap, or `None` when it does not
    /// change. [`Planner::track_holders`] has to be called with the same view first.
    pub fn plan(&mut self, now: Time, view: &ServiceView<'_>) -> Option<KeyMap> {
        if view.map.buckets.is_empty() {
            return self.assign(now, view);
        }
        let lost_buckets = self.lost_buckets(now, view);
        let mut map = view.map.clone();
        let changed = match lost_buckets.is_empty() || view.live.is_empty() {
            false => begin_moves(
                &mut map,
                view,
                &lost_buckets,
                witnesses(self.outage_hold, view.records),
            ),
            true if map.is_moving() => self.open_buckets(&mut map, view),
            true => drop_expired(&mut map, view.expired_moves),
        };
        map.drop_unused();
        changed.then_some(map)
    }

    /// Updates the times since which holders are missing and services have live agents. Every entry
    /// calls this in each round, since any of them may have to plan the service's moves later.
    pub fn track_holders(&mut self, now: Time, view: &ServiceView<'_>) {
        match view.live.is_empty() {
            true => self.first_live.remove(view.service),
            false => Some(*self.first_live.entry(view.service.to_owned()).or_insert(now)),
        };
        self.missing_since.retain(|(service, holder), _| {
            service != view.service
                || (!view.live.contains(holder)
                    && view.map.buckets.iter().any(|bucket| bucket.holder == *holder))
        });
        self.seen_live.retain(|(service, holder)| {
            service != view.service || view.map.buckets.iter().any(|b| b.holder == *holder)
        });
        for bucket in &view.map.buckets {
            let key = (view.service.to_owned(), bucket.holder.clone());
            match view.live.contains(&bucket.holder) {
                true => drop(self.seen_live.insert(key)),
                false => drop(self.missing_since.entry(key).or_insert(now)),
            }
        }
    }

    /// Returns the first assignment of all buckets, once [`ASSIGNMENT_DELAY`] has passed.
    fn assign(&self, now: Time, view: &ServiceView<'_>) -> Option<KeyMap> {
        let first_live = self.first_live.get(view.service)?;
        if now.saturating_sub(*first_live) < ASSIGNMENT_DELAY {
            return None;
        }
        let generation = view.map.generation + 1;
        // No entry dispatches keys of a service without a key map, so the buckets open at once.
        let buckets = (0..BUCKETS)
            .map(|index| {
                let holder = choose_holder(view, index)?;
                Some(Bucket { holder, phase: Phase::Open, generation })
            })
            .collect::<Option<Vec<_>>>()?;
        Some(KeyMap { generation, buckets, moves: Default::default() })
    }

    /// Returns the buckets whose holder has restarted, is leaving or has been missing too long.
    fn lost_buckets(&self, now: Time, view: &ServiceView<'_>) -> Vec<BucketIndex> {
        let is_lost = |holder: &Holder| {
            let restarted = view.live.iter().any(|live| live.agent == holder.agent);
            let key = (view.service.to_owned(), holder.clone());
            let confirmed = restarted || view.leaving.contains(holder);
            let grace = if self.seen_live.contains(&key) { MISSING_GRACE } else { UNHEARD_GRACE };
            let missing_since = self.missing_since.get(&key);
            missing_since.is_some_and(|at| confirmed || now.saturating_sub(*at) >= grace)
        };
        let buckets = view.map.buckets.iter().enumerate();
        buckets.filter(|(_, bucket)| is_lost(&bucket.holder)).map(|(index, _)| index).collect()
    }

    /// Opens the moving buckets whose move each entry has acknowledged. Tells whether any opened.
    fn open_buckets(&self, map: &mut KeyMap, view: &ServiceView<'_>) -> bool {
        let mut changed = false;
        for bucket in map.buckets.iter_mut().filter(|bucket| bucket.phase == Phase::Moving) {
            let generation = bucket.generation;
            if view
                .records
                .iter()
                .all(|(r, silent)| self.acknowledged(view, r, *silent, generation))
            {
                bucket.phase = Phase::Open;
                let before = map.moves.remove(&generation).unwrap_or_default();
                let current = witnesses(self.outage_hold, view.records);
                map.moves.insert(generation, merge_witnesses(&before, current));
                changed = true;
            }
        }
        changed
    }

    /// Tells whether an entry certainly no longer dispatches to holders from before `generation`.
    fn acknowledged(
        &self,
        view: &ServiceView<'_>,
        record: &EntryRecord,
        silent: Duration,
        generation: Generation,
    ) -> bool {
        record.stopped
            || record.adopted.get(view.service).is_some_and(|adopted| *adopted >= generation)
            || silent >= time::lease_wait(self.outage_hold)
    }
}

/// Returns the entries that may have dispatched keys within the retention, ordered by name.
pub fn witnesses(outage_hold: Duration, records: &[(EntryRecord, Duration)]) -> Vec<Witness> {
    let retention = time::lease_wait(RETENTION);
    let relevant = |record: &EntryRecord, silent: Duration| match record.stopped {
        true => silent < retention,
        // An entry may dispatch without contact to the store for the length of the outage hold.
        false => silent < time::lease_wait(outage_hold) + retention,
    };
    let mut witnesses: Vec<_> = records
        .iter()
        .filter(|(record, silent)| relevant(record, *silent))
        .map(|(record, _)| Witness {
            entry: record.entry.clone(),
            incarnation: record.incarnation,
            complete: record.complete && !record.stopped,
            predecessor: record.predecessor,
        })
        .collect();
    witnesses.sort_by(|a, b| a.entry.cmp(&b.entry));
    witnesses
}

/// Combines the witnesses at the beginning of a move with those at its opening. An incarnation that
/// ended in between stays a witness, since its list may have been fetched. Its direct successor
/// then counts as complete, although its table covers only its own lifetime.
pub fn merge_witnesses(initial: &[Witness], mut current: Vec<Witness>) -> Vec<Witness> {
    let find = |entry: &str, incarnation| {
        initial.iter().find(|w| w.entry == entry && w.incarnation == incarnation)
    };
    for witness in &mut current {
        let before = find(&witness.entry, witness.incarnation);
        let predecessor = witness.predecessor.and_then(|p| find(&witness.entry, p));
        witness.complete |= before.is_some_and(|w| w.complete) || predecessor.is_some();
    }
    let ended = |w: &&Witness| {
        !current.iter().any(|c| c.entry == w.entry && c.incarnation == w.incarnation)
    };
    let ended: Vec<_> = initial.iter().filter(ended).cloned().collect();
    current.extend(ended);
    current
}

/// Assigns the lost buckets to live holders, in a new generation and in [`Phase::Moving`].
fn begin_moves(
    map: &mut KeyMap,
    view: &ServiceView<'_>,
    lost_buckets: &[BucketIndex],
    witnesses: Vec<Witness>,
) -> bool {
    map.generation += 1;
    map.moves.insert(map.generation, witnesses);
    for index in lost_buckets {
        if let Some(holder) = choose_holder(view, *index) {
            map.buckets[*index] =
                Bucket { holder, phase: Phase::Moving, generation: map.generation };
        }
    }
    true
}

/// Drops the witnesses of expired moves. Tells whether there were any.
fn drop_expired(map: &mut KeyMap, expired_moves: &[Generation]) -> bool {
    let before = map.moves.len();
    map.moves.retain(|generation, _| !expired_moves.contains(generation));
    map.moves.len() != before
}

/// Chooses the holder of a bucket among the live agents by rendezvous hashing.
fn choose_holder(view: &ServiceView<'_>, index: BucketIndex) -> Option<Holder> {
    let key = format!("{}/{index}", view.service);
    let weight = |holder: &&Holder| hash::rendezvous(key.as_bytes(), holder.agent.as_bytes());
    view.live.iter().max_by_key(weight).cloned()
}
