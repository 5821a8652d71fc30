//! Checks the key table of an agent: guards against an idempotency key that runs twice, and against
//! a duplicate that receives another answer than the first request.

#[path = "support/schedules.rs"]
mod schedules;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::key_table::{
    Answer, Claim, KeyTable, Outcome, ANSWER_LIMIT, KEY_LIMIT, PAGE_LIMIT, RETENTION, STORED_LIMIT,
};
use peridotfold_core::keys::bucket_of;
use peridotfold_core::keys::lists::hash_of;
use peridotfold_core::time::Time;

/// Number of random schedules, each with its own seed.
const SCHEDULES: u64 = 10_000;
/// Steps of each schedule.
const STEPS: usize = 300;
/// Different keys in a schedule.
const KEYS: usize = 12;

fn key(number: usize) -> Bytes {
    Bytes::from(format!("team/key-{number}"))
}

fn answer(body: Vec<u8>) -> Arc<Answer> {
    let headers = vec![(Bytes::from_static(b"a"), Bytes::from_static(b"b"))];
    Arc::new(Answer { status: 200, headers, body: Bytes::from(body) })
}

/// Expected decision about a duplicate of a key.
#[derive(Debug, Clone)]
enum Expected {
    Running,
    Answered(Arc<Answer>),
    Unknown,
}

/// A key table and the state that it is expected to have.
struct Model {
    rng: fastrand::Rng,
    now: Time,
    table: KeyTable,
    /// Expected decision about each key, and the time at which it expires.
    keys: HashMap<Bytes, (Expected, Option<Time>)>,
    /// Number of runs of each key.
    executions: HashMap<Bytes, u32>,
}

impl Model {
    fn claim(&mut self, key: &Bytes) {
        let now = self.now;
        self.keys.retain(|_, (_, end)| end.is_none_or(|end| end > now));
        let expected = self.keys.get(key).map(|(expected, _)| expected.clone());
        match (self.table.claim(now, key), expected) {
            (Claim::Run, None) => {
                *self.executions.entry(key.clone()).or_default() += 1;
                self.keys.insert(key.clone(), (Expected::Running, None));
            }
            (Claim::Join, Some(Expected::Running)) => {}
            (Claim::Replay(replayed), Some(Expected::Answered(first))) => {
                assert_eq!(replayed, first);
            }
            (Claim::Unknown, Some(Expected::Unknown)) => {}
            (claim, expected) => panic!("{claim:?} for {expected:?}"),
        }
    }

    fn settle(&mut self, key: &Bytes) {
        let body = vec![self.rng.u8(..); self.rng.usize(0..64)];
        let outcome = match self.rng.u32(0..10) {
            0..=4 => Outcome::Answered(answer(body)),
            5 => Outcome::Answered(answer(vec![7; ANSWER_LIMIT + 1])),
            6..=7 => Outcome::Unknown,
            _ => Outcome::NotRun,
        };
        self.table.settle(self.now, key, outcome.clone());
        if !matches!(self.keys.get(key), Some((Expected::Running, _))) {
            return;
        }
        let end = Some(self.now + RETENTION);
        match outcome {
            Outcome::NotRun => drop(self.keys.remove(key)),
            Outcome::Answered(answer) if answer.body.len() <= ANSWER_LIMIT => {
                self.keys.insert(key.clone(), (Expected::Answered(answer), end));
            }
            _ => drop(self.keys.insert(key.clone(), (Expected::Unknown, end))),
        }
    }

    fn step(&mut self) {
        let (key, kind) = (key(self.rng.usize(0..KEYS)), self.rng.u32(0..10));
        if !schedules::step(|| format!("{:?} kind {kind}, {key:?}", self.now)) {
            return;
        }
        match kind {
            0..=4 => self.claim(&key),
            5..=7 => self.settle(&key),
            8 => self.now += Duration::from_secs(self.rng.u64(0..30)),
            _ if self.rng.u32(0..20) == 0 => self.now += RETENTION,
            _ => {}
        }
        assert!(self.table.len() <= KEYS);
        assert!(self.table.stored() <= KEYS * (ANSWER_LIMIT + 2));
    }
}

#[test]
fn random_schedules_run_each_key_at_most_once() {
    let executions = schedules::run(SCHEDULES, |seed| {
        let mut model = Model {
            rng: fastrand::Rng::with_seed(seed),
            now: Time::ZERO,
            table: KeyTable::default(),
            keys: HashMap::new(),
            executions: HashMap::new(),
        };
        for _ in 0..STEPS {
            model.step();
        }
        model.executions.values().map(|count| u64::from(*count)).sum()
    });
    assert!(executions > 0, "the schedules hardly ran anything");
}

#[test]
fn full_table_refuses_new_keys_and_keeps_the_old() {
    let mut table = KeyTable::default();
    for number in 0..KEY_LIMIT {
        assert_eq!(table.claim(Time::ZERO, &key(number)), Claim::Run);
        table.settle(Time::ZERO, &key(number), Outcome::Unknown);
    }
    assert_eq!(table.claim(Time::ZERO, &key(KEY_LIMIT)), Claim::Full);
    assert_eq!(table.claim(Time::ZERO, &key(0)), Claim::Unknown);
    assert_eq!(table.claim(RETENTION, &key(KEY_LIMIT)), Claim::Run);
    assert_eq!(table.len(), 1);
}

#[test]
fn answer_dropped_for_space_is_not_run_again() {
    let mut table = KeyTable::default();
    let count = STORED_LIMIT / ANSWER_LIMIT + 100;
    for number in 0..count {
        assert_eq!(table.claim(Time::ZERO, &key(number)), Claim::Run);
        table.settle(Time::ZERO, &key(number), Outcome::Answered(answer(vec![1; ANSWER_LIMIT])));
        assert!(table.stored() <= STORED_LIMIT);
    }
    assert_eq!(table.claim(Time::ZERO, &key(0)), Claim::Unknown);
    let last = table.claim(Time::ZERO, &key(count - 1));
    assert!(matches!(last, Claim::Replay(_)));
    assert_eq!(table.claim(RETENTION, &key(0)), Claim::Run);
    assert_eq!((table.len(), table.stored()), (1, 0));
}

/// Guards against a key that is missing from the pages of a holder's table. A restarted entry that
/// reads the pages would conclude that the key never ran.
#[test]
fn pages_name_every_key() {
    schedules::run(500, |seed| {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut table = KeyTable::default();
        let count = rng.usize(0..PAGE_LIMIT * 3);
        let mut expected = BTreeMap::new();
        for number in 0..count {
            let key = key(number);
            assert_eq!(table.claim(Time::ZERO, &key), Claim::Run);
            let running = rng.bool();
            if !running {
                table.settle(Time::ZERO, &key, Outcome::Unknown);
            }
            expected.insert(hash_of(&key), (bucket_of(&key), running));
        }
        let (mut found, mut after) = (BTreeMap::new(), None);
        loop {
            let (keys, more) = table.page(after);
            assert!(keys.len() <= PAGE_LIMIT);
            after = keys.last().map(|key| key.hash);
            found.extend(keys.iter().map(|k| (k.hash, (usize::from(k.bucket), k.running))));
            if !more {
                break;
            }
        }
        assert_eq!(found, expected, "seed {seed}");
        count as u64
    });
}
