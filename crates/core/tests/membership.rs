//! Checks the liveness of entries in seeded random schedules of heartbeats, lists and outages of
//! the store.

#[path = "support/schedules.rs"]
mod schedules;

use std::time::Duration;

use peridotfold_core::membership::{EntryRecord, Members, HEARTBEAT_INTERVAL, HEARTBEAT_RETRY};

/// Number of random schedules, each with its own seed.
const SCHEDULES: u64 = 10_000;
/// Silence after which an entry counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(6);
/// Duration of a step.
const TICK: Duration = Duration::from_millis(500);

fn record(entry: usize, incarnation: u64, counter: u64) -> EntryRecord {
    EntryRecord {
        entry: format!("entry-{entry}"),
        incarnation,
        counter,
        http: String::new(),
        internal: String::new(),
        data_centre: String::new(),
        adopted: Default::default(),
        complete: true,
        predecessor: None,
        joined: true,
        stopped: false,
    }
}

/// One entry that writes heartbeats.
struct Writer {
    record: EntryRecord,
    next: Duration,
    /// Time at which the entry was killed.
    killed: Option<Duration>,
}

/// Guards against entries that count as dead because of a fault of the store: during an outage,
/// just after it, or while the store refuses only writes. Also guards against dead entries that
/// count as alive.
#[test]
fn outages_kill_nobody_and_the_dead_are_noticed() {
    schedules::run(SCHEDULES, |seed| {
        run(seed);
        0
    });
}

fn run(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut writers: Vec<Writer> = (0..4)
        .map(|index| Writer {
            record: record(index, 1, 1),
            next: TICK * rng.u32(0..4),
            killed: None,
        })
        .collect();
    let mut members = Members::new(DEAD_AFTER);
    let (mut reads, mut writes) = (true, true);
    let mut listed = Duration::ZERO;
    // For each killed entry, the time since its death without outages of the store.
    let mut observed = [Duration::ZERO; 4];
    let mut previous = None;
    for step in 0..240_u32 {
        let now = TICK * step;
        if rng.u32(0..30) == 0 {
            (reads, writes) = [(true, true), (false, false), (true, false)][rng.usize(0..3)];
        }
        if rng.u32(0..80) == 0 {
            let index = rng.usize(0..writers.len());
            writers[index].killed.get_or_insert(now);
        }
        for writer in &mut writers {
            if writer.killed.is_none() && now >= writer.next {
                writer.next = now + if writes { HEARTBEAT_INTERVAL } else { HEARTBEAT_RETRY };
                writer.record.counter += u64::from(writes);
            }
        }
        if now < listed + HEARTBEAT_INTERVAL || !reads || !writes {
            continue;
        }
        listed = now;
        members.observe(now, writers.iter().map(|writer| writer.record.clone()).collect());
        let gap = previous.map_or(Duration::ZERO, |at| now - at);
        previous = Some(now);
        for (index, writer) in writers.iter().enumerate() {
            let alive = members.alive().iter().any(|view| view.entry == writer.record.entry);
            match writer.killed {
                None => assert!(alive, "seed {seed}: entry {index} is alive at {now:?}"),
                Some(killed) if now > killed + HEARTBEAT_INTERVAL + gap => {
                    observed[index] +=
                        if gap <= HEARTBEAT_INTERVAL * 2 { gap } else { Duration::ZERO };
                    let late = observed[index] > DEAD_AFTER + HEARTBEAT_INTERVAL * 2;
                    assert!(!(alive && late), "seed {seed}: entry {index} is dead at {now:?}");
                }
                Some(_) => {}
            }
        }
    }
}

/// Guards against a restarted entry that is taken for its previous incarnation, and against a
/// stopped entry that counts as alive.
#[test]
fn restarts_and_stops_are_seen_at_once() {
    let mut members = Members::new(DEAD_AFTER);
    members.observe(Duration::ZERO, vec![record(0, 1, 5)]);
    members.observe(Duration::from_secs(2), vec![record(0, 2, 5)]);
    assert_eq!(members.alive()[0].incarnation, 2);
    let stopped = EntryRecord { stopped: true, ..record(0, 2, 6) };
    members.observe(Duration::from_secs(4), vec![stopped]);
    assert!(members.alive().is_empty());
}
