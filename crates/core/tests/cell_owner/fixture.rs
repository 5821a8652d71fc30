//! Test fixture: a cell's owner with simulated agents.

use std::time::Duration;

use bytes::Bytes;
use peridotfold_core::cell::state::Phase;
use peridotfold_core::cell::{
    Cell, CellSettings, CellState, Effect, Event, JobSpec, Limits, SubmitReply,
};
use peridotfold_core::message::announce::AgentState;
use peridotfold_core::message::report::{
    Orders, Outcome, Report, RunningTask, StartOrder, TaskResult,
};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

/// Duration of the leases that the owner grants on attempts.
pub const LEASE: Duration = Duration::from_secs(20);
/// Time without contact to the store after which the owner grants no more leases.
pub const OUTAGE_HOLD: Duration = Duration::from_secs(600);

/// Returns a duration of this many milliseconds.
pub fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns the specification of a job whose tasks each need `cpu` thousandths of a core and 100
/// MiB.
pub fn spec(id: &str, class: &str, tasks: u32, cpu: u64) -> JobSpec {
    JobSpec {
        id: id.to_owned(),
        team: "team".to_owned(),
        class: class.to_owned(),
        tasks,
        need: Resources::new(cpu, 100, 0),
        command: Bytes::from_static(b"run"),
    }
}

/// Returns the limits of a normal and an urgent class, and the quota of one team with `quota`
/// thousandths of a core.
pub fn limits(quota: u64) -> Limits {
    let limit = Resources::new(16_000, 64_000, 4);
    Limits {
        teams: [("team".to_owned(), Resources::new(quota, 1 << 40, 100))].into(),
        classes: [("normal".to_owned(), (limit, false)), ("urgent".to_owned(), (limit, true))]
            .into(),
    }
}

/// Cell owner with agents that carry out each order at once, on virtual time.
pub struct Fixture {
    pub cell: Cell,
    pub now: Time,
    /// Sequence number of the last report of any agent.
    pub sequence: u64,
    /// All events committed so far, oldest first.
    pub committed_events: Vec<Event>,
    /// Id, running tasks and unacknowledged results of each agent.
    pub agents: Vec<(String, Vec<StartOrder>, Vec<TaskResult>)>,
    /// Batch capacity that each worker reports.
    pub capacity: Resources,
    /// Measured usage that the agents report for each running task.
    pub measured: Resources,
}

impl Fixture {
    /// Creates an owner and agents with `cpu` thousandths of a core each, after the discovery
    /// period.
    pub fn new(agents: usize, cpu: u64, quota: u64) -> Self {
        let agents = (0..agents).map(|n| (format!("vm-{n}"), Vec::new(), Vec::new()));
        let settings = CellSettings::default();
        let rng = fastrand::Rng::with_seed(1);
        let mut cell = Cell::take_over(CellState::default(), 1, settings, Time::ZERO, rng);
        cell.set_limits(limits(quota));
        let mut fixture = Fixture {
            cell,
            now: Time::ZERO,
            sequence: 0,
            committed_events: Vec::new(),
            agents: agents.collect(),
            capacity: Resources::new(cpu, 64_000, 0),
            measured: Resources::default(),
        };
        fixture.round(ms(10));
        fixture.round(ms(6_000));
        fixture
    }

    /// Replaces the owner with a new one in the next epoch.
    pub fn take_over(&mut self) {
        let state = self.replay();
        let epoch = self.cell.epoch() + 1;
        let rng = fastrand::Rng::with_seed(epoch);
        self.cell = Cell::take_over(state, epoch, CellSettings::default(), self.now, rng);
        self.cell.set_limits(limits(1 << 40));
        self.commit();
    }

    /// Returns the state after all committed events.
    pub fn replay(&self) -> CellState {
        let mut state = CellState::default();
        self.committed_events.iter().for_each(|event| state.apply(event));
        state
    }

    /// Commits the next batch and returns the effects that it releases.
    pub fn commit(&mut self) -> Vec<Effect> {
        self.committed_events.extend(self.cell.take_batch());
        self.cell.confirm_commit();
        self.cell.take_effects()
    }

    /// Sends the report of an agent and returns the answer.
    pub fn report(&mut self, agent: usize, epoch: u64) -> Orders {
        self.sequence += 1;
        let (id, running, results) = &self.agents[agent];
        let reserved =
            running.iter().fold(Resources::default(), |sum, start| sum.plus(&start.need));
        let tasks = running.iter().map(|start| RunningTask {
            attempt: start.attempt.clone(),
            measured: self.measured,
            speed_percent: 100,
        });
        let report = Report {
            agent: id.clone(),
            incarnation: 1,
            echo: 0,
            cell: "cell".to_owned(),
            rack: format!("rack-{}", agent / 3),
            sequence: self.sequence,
            state: AgentState::Ready,
            epoch,
            batch_capacity: self.capacity,
            free: self.capacity.minus(&reserved),
            urgent_free: self.capacity.minus(&reserved),
            running: tasks.collect(),
            results: results.clone(),
            pressure_percent: 0,
        };
        self.cell.report(self.now, &report);
        self.cell.answer(self.now, id, 1, self.sequence).expect("the owner has stopped")
    }

    /// Carries out the orders of an answer on an agent. Returns the number of tasks started.
    pub fn apply_orders(&mut self, agent: usize, orders: Orders) -> usize {
        let (_, running, results) = &mut self.agents[agent];
        results.retain(|result| !orders.acknowledged.contains(&result.attempt));
        for stop in orders.stops {
            running.retain(|start| start.attempt != stop.attempt);
            let outcome = Outcome::Stopped { checkpoint: None };
            results.push(TaskResult { attempt: stop.attempt, outcome });
        }
        let count = orders.starts.len();
        running.extend(orders.starts);
        count
    }

    /// Advances the time, lets each agent report and carry out its orders, then lets the owner
    /// place tasks and commit. Returns the number of starts that reached the agents.
    pub fn round(&mut self, step: Duration) -> usize {
        self.now += step;
        self.cell.record_store_contact(self.now);
        let mut starts = 0;
        for agent in 0..self.agents.len() {
            let orders = self.report(agent, self.cell.epoch());
            starts += self.apply_orders(agent, orders);
        }
        self.cell.poll(self.now);
        self.commit();
        starts
    }

    /// Ends all running tasks of an agent with the same outcome, which its next report contains.
    pub fn end_all(&mut self, agent: usize, outcome: &Outcome) {
        let (_, running, results) = &mut self.agents[agent];
        let ended = running.drain(..).map(|start| start.attempt);
        results.extend(ended.map(|attempt| TaskResult { attempt, outcome: outcome.clone() }));
    }

    /// Submits a new job.
    pub fn submit(&mut self, spec: JobSpec) {
        assert_eq!(self.cell.submit(spec, 1), SubmitReply::Created);
    }

    /// Returns the number of current attempts of a job.
    pub fn running(&self, job: &str) -> usize {
        self.cell.state().jobs[job].attempts.len()
    }

    /// Returns the lifecycle phase of a job; `None` if the cell does not know the job.
    pub fn phase(&self, job: &str) -> Option<Phase> {
        self.cell.state().jobs.get(job).map(|job| job.phase)
    }
}
