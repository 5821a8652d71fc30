//! Checks the choice of upstreams and the retry budget in seeded random schedules of announcements,
//! failures and requests, on virtual time.

#[path = "support/schedules.rs"]
mod schedules;

use std::time::Duration;

use peridotfold_core::message::announce::{AgentState, Announce, ServiceLoad};
use peridotfold_core::routing::{Feedback, RetryBudget, Target, UpstreamTable};

/// Number of random schedules, each with its own seed.
const SCHEDULES: u64 = 10_000;
const AGENTS: usize = 5;
const SERVICE: &str = "listings";
/// Time after its last announcement at which an upstream receives no more work.
const EXPIRY: Duration = Duration::from_secs(3);
/// Maximum delay of an announcement, below the time for which the table keeps silent agents.
const DELAY_LIMIT: Duration = Duration::from_secs(50);

fn announce(agent: usize, incarnation: u64, sequence: u64, state: AgentState) -> Announce {
    let load = ServiceLoad {
        service: SERVICE.into(),
        slots: 8,
        running: 0,
        queued: 0,
        latency: Duration::from_millis(5),
    };
    Announce {
        agent: format!("agent-{agent}"),
        incarnation,
        sequence,
        rack: "rack".into(),
        data_centre: "dc".into(),
        cell: "cell".into(),
        address: format!("10.0.0.{agent}:1"),
        state,
        services: vec![load],
        config_version: 0,
        entries_digest: 0,
    }
}

/// Expected state of one agent.
#[derive(Default)]
struct Model {
    incarnation: u64,
    sequence: u64,
    leaving: bool,
    /// Time of sending, incarnation, sequence and state of the announcements in flight.
    sent: Vec<(Duration, u64, u64, AgentState)>,
    /// Time, incarnation, sequence and state of each announcement that the table accepted.
    delivered: Vec<(Duration, u64, u64, AgentState)>,
    /// Incarnation and number of deliveries at the last connection failure.
    connection_failed: Option<(u64, usize)>,
}

impl Model {
    /// Tells whether the table may choose the given incarnation of the agent.
    fn allows(&self, now: Duration, incarnation: u64) -> bool {
        let deliveries = || self.delivered.iter().filter(|(_, i, ..)| *i == incarnation);
        let recent = deliveries().any(|(at, ..)| now - *at < EXPIRY);
        let newest = deliveries().max_by_key(|(_, _, sequence, _)| *sequence);
        let ready = newest.is_some_and(|(.., state)| *state == AgentState::Ready);
        let silent_since_failure =
            self.connection_failed == Some((incarnation, self.delivered.len()));
        recent && ready && !silent_since_failure
    }
}

/// A random schedule with the table under test and the expected state of each agent.
struct Schedule {
    seed: u64,
    rng: fastrand::Rng,
    now: Duration,
    table: UpstreamTable,
    models: Vec<Model>,
    budget: RetryBudget,
    first_tries: u32,
    retries: u32,
}

/// Guards against requests to an upstream that is leaving, silent, replaced or unreachable, and
/// against more retries than a tenth of the first tries.
#[test]
fn only_live_upstreams_are_chosen() {
    schedules::run(SCHEDULES, |seed| {
        let mut schedule = Schedule {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            table: UpstreamTable::default(),
            models: (0..AGENTS).map(|_| Model::default()).collect(),
            budget: RetryBudget::default(),
            first_tries: 0,
            retries: 0,
        };
        for _ in 0..200 {
            schedule.step();
        }
        0
    });
}

impl Schedule {
    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(0..400));
        let index = self.rng.usize(0..AGENTS);
        let kind = self.rng.u32(0..20);
        if !schedules::step(|| format!("{:?} kind {kind}, agent {index}", self.now)) {
            return;
        }
        match kind {
            0 => {
                let incarnation = self.rng.u64(1..);
                let model = &mut self.models[index];
                (model.incarnation, model.sequence, model.leaving) = (incarnation, 0, false);
            }
            1 => self.models[index].leaving = true,
            2..=7 => self.send(index),
            8..=14 => self.deliver(index),
            15 => self.table.prune(self.now),
            _ => self.request(),
        }
    }

    fn send(&mut self, index: usize) {
        let model = &mut self.models[index];
        model.sequence += 1;
        let state = if model.leaving { AgentState::Leaving } else { AgentState::Ready };
        model.sent.push((self.now, model.incarnation, model.sequence, state));
    }

    /// Delivers an announcement, in one of four cases out of order.
    fn deliver(&mut self, index: usize) {
        let model = &mut self.models[index];
        model.sent.retain(|(at, ..)| self.now - *at < DELAY_LIMIT);
        if model.sent.is_empty() {
            return;
        }
        let place = if self.rng.u32(0..4) == 0 { self.rng.usize(0..model.sent.len()) } else { 0 };
        let (_, incarnation, sequence, state) = model.sent.remove(place);
        let newest = model.delivered.iter().filter(|d| d.1 == incarnation).map(|d| d.2).max();
        if self.table.announce(self.now, announce(index, incarnation, sequence, state)) {
            let is_newer = newest.is_none_or(|newest| newest < sequence);
            assert!(is_newer, "seed {}: an older announcement was taken", self.seed);
            model.delivered.push((self.now, incarnation, sequence, state));
        }
    }

    fn request(&mut self) {
        self.first_tries += 1;
        self.budget.earn();
        let mut tried = Vec::new();
        loop {
            let chosen = self.table.choose(self.now, SERVICE, &tried, &mut self.rng);
            let Some(target) = chosen else { return };
            self.check(&target, &tried);
            self.table.begin(&target, SERVICE);
            let feedback = self.feedback();
            self.table.record_feedback(self.now, &target, SERVICE, feedback);
            self.table.end(&target, SERVICE);
            if feedback == Feedback::Unreachable {
                let model = &mut self.models[index_of(&target)];
                model.connection_failed = Some((target.incarnation, model.delivered.len()));
            }
            let failed = matches!(feedback, Feedback::Unreachable | Feedback::Failed);
            if !failed || !self.budget.spend() {
                break;
            }
            self.retries += 1;
            tried.push(target.agent);
        }
        assert!(self.retries * 10 <= self.first_tries, "seed {}: too many retries", self.seed);
    }

    fn feedback(&mut self) -> Feedback {
        match self.rng.u32(0..4) {
            0 => Feedback::Unreachable,
            1 => Feedback::Failed,
            2 => Feedback::Abandoned,
            _ => Feedback::Answered(Duration::from_millis(self.rng.u64(1..50))),
        }
    }

    fn check(&self, target: &Target, tried: &[String]) {
        let model = &self.models[index_of(target)];
        let seed = self.seed;
        assert!(!tried.contains(&target.agent), "seed {seed}: {target:?} was tried already");
        let allowed = model.allows(self.now, target.incarnation);
        assert!(allowed, "seed {seed}: {target:?} must not be chosen at {:?}", self.now);
    }
}

fn index_of(target: &Target) -> usize {
    target.agent.trim_start_matches("agent-").parse().expect("the name ends with the index")
}

/// Guards against a live upstream that is not found among many that are leaving.
#[test]
fn a_live_upstream_is_always_found() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut table = UpstreamTable::default();
    for agent in 0..200 {
        let state = if agent == 77 { AgentState::Ready } else { AgentState::Leaving };
        table.announce(Duration::ZERO, announce(agent, 1, 1, state));
    }
    for _ in 0..100 {
        let target = table.choose(Duration::from_secs(1), SERVICE, &[], &mut rng);
        assert_eq!(target.map(|target| target.agent).as_deref(), Some("agent-77"));
    }
    assert!(table.choose(EXPIRY, SERVICE, &[], &mut rng).is_none());
}

/// Simulates 20,000 requests to ten upstreams. Returns the 99th percentile of the latency and the
/// number of failures. The first upstream takes `slow` times as long as the others; if `failing`,
/// it fails all its requests after 0.5 ms instead.
fn p99(seed: u64, slow: u64, failing: bool) -> (Duration, u32) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut table = UpstreamTable::default();
    let mut running: Vec<(Duration, Duration, Target, bool)> = Vec::new();
    let mut latencies = Vec::new();
    let mut failures = 0;
    for tick in 0..20_000_u64 {
        let now = Duration::from_millis(tick);
        if tick % 1_000 == 0 {
            for agent in 0..10 {
                let sequence = tick / 1_000 + 1;
                table.announce(now, announce(agent, 1, sequence, AgentState::Ready));
            }
        }
        let (ended, rest) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = rest;
        for (end, begun, target, failed) in ended {
            let feedback = if failed { Feedback::Failed } else { Feedback::Answered(end - begun) };
            table.record_feedback(now, &target, SERVICE, feedback);
            table.end(&target, SERVICE);
            latencies.push(end - begun);
            failures += u32::from(failed);
        }
        let target = table.choose(now, SERVICE, &[], &mut rng).expect("ten upstreams are live");
        table.begin(&target, SERVICE);
        let is_first = index_of(&target) == 0;
        let micros = rng.u64(4_000..8_000) * if is_first { slow } else { 1 };
        let failed = is_first && failing;
        let latency = Duration::from_micros(if failed { 500 } else { micros });
        running.push((now + latency, now, target, failed));
    }
    latencies.sort();
    (latencies[latencies.len() * 99 / 100], failures)
}

/// Guards against one slow upstream that raises the 99th percentile of the latency by more than 1.3
/// times (section 1.7 of the design).
#[test]
fn one_slow_upstream_hardly_raises_p99() {
    for seed in 0..5 {
        let (without, _) = p99(seed, 1, false);
        let (with, _) = p99(seed, 10, false);
        assert!(with <= without * 13 / 10, "seed {seed}: {with:?} against {without:?}");
    }
}

/// Guards against an upstream that attracts requests because it fails them fast.
#[test]
fn fast_errors_attract_no_requests() {
    for seed in 0..5 {
        let (_, failures) = p99(seed, 1, true);
        assert!(failures < 20_000 / 100, "seed {seed}: {failures} of 20000 requests failed");
    }
}

/// Guards against an upstream that attracts requests because it fails fast, and against ejections
/// that leave too few upstreams: after refusals, or of more than half of the upstreams.
#[test]
fn only_failing_upstreams_are_ejected_and_at_most_half() {
    for failing in 1..=AGENTS {
        for feedback in [Feedback::Failed, Feedback::Refused] {
            let mut table = UpstreamTable::default();
            for agent in 0..AGENTS {
                table.announce(Duration::ZERO, announce(agent, 1, 1, AgentState::Ready));
            }
            let mut rng = fastrand::Rng::with_seed(failing as u64);
            let mut now = Duration::ZERO;
            let mut chosen = [0; AGENTS];
            for number in 0..4_000 {
                now += Duration::from_micros(100);
                let Some(target) = table.choose(now, SERVICE, &[], &mut rng) else {
                    panic!("no upstream is chosen with {failing} failing");
                };
                let index = index_of(&target);
                let outcome = match index < failing {
                    true => feedback,
                    false => Feedback::Answered(Duration::from_millis(10)),
                };
                table.record_feedback(now, &target, SERVICE, outcome);
                chosen[index] += u32::from(number >= 2_000);
            }
            // While others answer, the cost of a failing upstream is enough to keep it idle.
            let idle = chosen.iter().filter(|count| **count == 0).count();
            let case = format!("{failing} with {feedback:?}: {chosen:?}");
            assert!(chosen[failing..].iter().all(|count| *count > 0), "{case}");
            match (feedback, failing) {
                (Feedback::Failed, few) if few <= AGENTS / 2 => assert_eq!(idle, few, "{case}"),
                (Feedback::Failed, AGENTS) => assert!(idle <= AGENTS / 2, "{case}"),
                (_, AGENTS) => assert_eq!(idle, 0, "{case}"),
                _ => {}
            }
        }
    }
}
