//! Plans the moves of buckets.

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
/// its announcements. Covers an entry that has just started and an agent that reconnects.
const MISSING_GRACE: Duration = Duration::from_secs(2);
/// As above, for a holder that has never announced itself to this entry. A restarted entry is
/// found by agents only after another entry has listed its record and told them, which takes
/// several rounds when the store fails; with 2 s, it moved the buckets of live holders.
const UNHEARD_GRACE: Duration = Duration::from_secs(10);
/// Time between the first upstream of a service and the assignment of its buckets. Upstreams that
/// start together then share the buckets.
const ASSIGNMENT_DELAY: Duration = Duration::from_secs(3);

/// What the planner looks at for one service.
///
/// `map` has to be read from the store before `records` are listed: an entry that is not among the
/// records then reads this map, or a later one, before it dispatches anything.
#[derive(Debug)]
pub struct ServiceView<'a> {
    pub service: &'a str,
    pub map: &'a KeyMap,
    /// Holders that take new work, in a stable order.
    pub live: &'a [Holder],
    /// Holders that have announced that they are leaving; their buckets move at once.
    pub leaving: &'a [Holder],
    /// Records of all entries, with the time since their last heartbeat.
    pub records: &'a [(EntryRecord, Duration)],
    /// Moves that have been open for the whole retention.
    pub expired_moves: &'a [Generation],
}

/// Plans the moves of buckets as seen by one entry.
#[derive(Debug)]
pub struct Planner {
    outage_hold: Duration,
    missing_since: HashMap<(ServiceId, Holder), Time>,
    /// Holders in the map that were live once.
    seen_live: HashSet<(ServiceId, Holder)>,
    first_live: HashMap<ServiceId, Time>,
}

/// Returns the entry that moves the buckets of `service`. Entries that disagree about who is
/// alive may both try; the compare-and-swap on the map lets one of them win.
pub fn coordinator<'a>(service: &str, alive: &'a [EntryView]) -> Option<&'a EntryView> {
    alive.iter().max_by_key(|view| hash::rendezvous(service.as_bytes(), view.entry.as_bytes()))
}

impl Planner {
    /// Builds a planner that has seen nothing.
    pub fn new(outage_hold: Duration) -> Self {
        Planner {
            outage_hold,
            missing_since: HashMap::new(),
            seen_live: HashSet::new(),
            first_live: HashMap::new(),
        }
    }

    /// Returns the next map, to be written by compare-and-swap, or `None` when nothing is to do.
    /// [`Planner::watch`] has to be called with the same view before.
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

    /// Updates the times since which holders are missing and services have upstreams. Called in
    /// each round, also by entries that do not move the service's buckets, since they may have to
    /// later.
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

    fn assign(&self, now: Time, view: &ServiceView<'_>) -> Option<KeyMap> {
        let first_live = self.first_live.get(view.service)?;
        if now.saturating_sub(*first_live) < ASSIGNMENT_DELAY {
            return None;
        }
        let generation = view.map.generation + 1;
        // No entry dispatches keys of a service without a map, so there is nobody to wait for.
        let buckets = (0..BUCKETS)
            .map(|index| {
                let holder = choose_holder(view, index)?;
                Some(Bucket { holder, phase: Phase::Open, generation })
            })
            .collect::<Option<Vec<_>>>()?;
        Some(KeyMap { generation, buckets, moves: Default::default() })
    }

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

    /// Tells whether an entry certainly no longer dispatches to the holders before `generation`.
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

/// Lists the entries that may have dispatched keys within the retention.
pub fn witnesses(outage_hold: Duration, records: &[(EntryRecord, Duration)]) -> Vec<Witness> {
    let retention = time::lease_wait(RETENTION);
    let relevant = |record: &EntryRecord, silent: Duration| match record.stopped {
        true => silent < retention,
        // It may have dispatched without the store for the length of the outage hold.
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

/// Combines the witnesses at the begin of a move with those of a later time. An incarnation that
/// ended in between stays a witness, since its list may have been fetched; the incarnation that
/// directly followed it then needs no longer memory than its own.
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

fn drop_expired(map: &mut KeyMap, expired_moves: &[Generation]) -> bool {
    let before = map.moves.len();
    map.moves.retain(|generation, _| !expired_moves.contains(generation));
    map.moves.len() != before
}

fn choose_holder(view: &ServiceView<'_>, index: BucketIndex) -> Option<Holder> {
    let key = format!("{}/{index}", view.service);
    let weight = |holder: &&Holder| hash::rendezvous(key.as_bytes(), holder.agent.as_bytes());
    view.live.iter().max_by_key(weight).cloned()
}
