//! Entries, instances and the messages between them, on virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use peridotfold_core::admission::{Action, Ending, Offer};
use peridotfold_core::id::AgentId;
use peridotfold_core::membership::{EntryRecord, Members, HEARTBEAT_INTERVAL};
use peridotfold_core::message::announce::Announce;
use peridotfold_core::message::request::{CancelReply, RefuseReason, RequestId};
use peridotfold_core::routing::{Feedback, RetryBudget, Target, UpstreamTable};
use peridotfold_core::time::Time;

use super::choice::{Chooser, Policy};
use super::instance::{capacity, service_time, Instance, SERVICE};
use super::report::{Ended, Report};
use super::scenario::{Scenario, DISTURBED, END, WARM_UP};

const ENTRIES: usize = 3;
const INSTANCES: usize = 10;
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Callers' deadlines; the last is the default of a service.
const TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(250), Duration::from_secs(2)];
/// One-way delay between VMs.
const DELAY_MIN: Duration = Duration::from_millis(1);
const DELAY_SPREAD: Duration = Duration::from_micros(500);
/// As in the entry: time for which a final answer waits for proof that the request did not run.
const PROOF_WAIT: Duration = Duration::from_millis(25);

#[derive(Debug, Clone)]
enum Reply {
    Answer { fails: bool },
    NotRun(RefuseReason),
    Cancelled(CancelReply),
}

#[derive(Debug, Clone)]
enum Event {
    Arrive,
    Offer { request: usize, target: Target, id: RequestId, deadline_in: Duration },
    Served { instance: usize, id: RequestId, fails: bool },
    Tick { instance: usize },
    Cancel { instance: usize, id: RequestId },
    Reply { id: RequestId, reply: Reply },
    Deadline { request: usize },
    ProofEnd { request: usize },
    Announce { instance: usize },
    Announced { entry: usize, announce: Announce },
    Depart,
    Return,
    List { entry: usize },
}

#[derive(Debug)]
struct Scheduled {
    at: Time,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

#[derive(Debug)]
struct Entry {
    table: UpstreamTable,
    budget: RetryBudget,
    chooser: Chooser,
    members: Members,
    counter: u64,
    next_id: u64,
}

#[derive(Debug)]
struct Request {
    entry: usize,
    started: Time,
    timeout: Duration,
    service_time: Duration,
    tried: Vec<AgentId>,
    current: Option<(Target, RequestId, Time)>,
    tries: u64,
    ended: bool,
}

/// One run with one seed.
#[derive(Debug)]
pub struct Simulation {
    scenario: Scenario,
    now: Time,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    /// Draws arrivals, deadlines and service times, which are the same for all policies.
    load_rng: fastrand::Rng,
    choice_rng: fastrand::Rng,
    delay_rng: fastrand::Rng,
    entries: Vec<Entry>,
    instances: Vec<Instance>,
    /// Entries to which each instance announces.
    homes: Vec<Vec<usize>>,
    requests: Vec<Request>,
    by_id: HashMap<RequestId, usize>,
    report: Report,
}

impl Simulation {
    pub fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let instances: Vec<_> = (0..INSTANCES).map(|index| Instance::new(index, 1)).collect();
        let agents: Vec<_> = instances.iter().map(|instance| instance.agent.clone()).collect();
        let entry = |index: usize| Entry {
            table: UpstreamTable::default(),
            budget: RetryBudget::default(),
            chooser: Chooser::new(policy, agents.clone(), index * INSTANCES / ENTRIES),
            members: Members::new(Duration::from_secs(6)),
            counter: 0,
            next_id: 0,
        };
        let mut simulation = Simulation {
            scenario,
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            scheduled: 0,
            load_rng: fastrand::Rng::with_seed(seed),
            choice_rng: fastrand::Rng::with_seed(seed + 1_000),
            delay_rng: fastrand::Rng::with_seed(seed + 2_000),
            entries: (0..ENTRIES).map(entry).collect(),
            instances,
            homes: vec![(0..ENTRIES).collect(); INSTANCES],
            requests: Vec::new(),
            by_id: HashMap::new(),
            report: Report::new(capacity(INSTANCES) * (END - WARM_UP).as_secs_f64()),
        };
        simulation.begin();
        simulation
    }

    pub fn run(mut self) -> Report {
        while let Some(Reverse(Scheduled { at, event, .. })) = self.queue.pop() {
            self.now = at;
            self.handle(event);
        }
        self.report
    }

    fn begin(&mut self) {
        for instance in 0..INSTANCES {
            let phase = ANNOUNCE_PERIOD.mul_f64(self.delay_rng.f64());
            self.schedule(phase, Event::Announce { instance });
        }
        for entry in 0..ENTRIES {
            self.schedule(Duration::ZERO, Event::List { entry });
        }
        self.schedule(ANNOUNCE_PERIOD + DELAY_MIN * 2, Event::Arrive);
        if self.scenario.departs(0) {
            self.schedule(DISTURBED.start, Event::Depart);
            self.schedule(DISTURBED.end, Event::Return);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        let at = self.now + after;
        self.queue.push(Reverse(Scheduled { at, number: self.scheduled, event }));
    }

    fn send(&mut self, event: Event) {
        let delay = DELAY_MIN + DELAY_SPREAD.mul_f64(self.delay_rng.f64());
        self.schedule(delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Offer { request, target, id, deadline_in } => {
                self.offer(request, &target, id, deadline_in);
            }
            Event::Served { instance, id, fails } => self.served(instance, &id, fails),
            Event::Tick { instance } => {
                let actions = self.instances[instance].admission.tick(self.now);
                self.perform(instance, actions);
            }
            Event::Cancel { instance, id } => self.cancel(instance, id),
            Event::Reply { id, reply } => self.reply(&id, reply),
            Event::Deadline { request } => self.deadline(request),
            Event::ProofEnd { request } => self.end(request, Ended::Unknown, Feedback::Failed),
            Event::Announce { instance } => self.announce(instance),
            Event::Announced { entry, announce } => self.announced(entry, announce),
            Event::Depart => {
                for instance in 0..INSTANCES {
                    if self.scenario.departs(instance) {
                        self.instances[instance].leave();
                        self.tell(instance);
                    }
                }
            }
            Event::Return => {
                for instance in 0..INSTANCES {
                    if self.scenario.departs(instance) {
                        self.instances[instance] = Instance::new(instance, 2);
                        self.tell(instance);
                    }
                }
            }
            Event::List { entry } => self.list(entry),
        }
    }

    fn arrive(&mut self) {
        let rate = capacity(INSTANCES) * self.scenario.load();
        let gap = -(1.0 - self.load_rng.f64()).ln() / rate;
        if self.now < END {
            self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        }
        let entry = self.load_rng.usize(..ENTRIES);
        let timeout = TIMEOUTS[self.load_rng.usize(..TIMEOUTS.len())];
        let service_time = service_time(&mut self.load_rng);
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            started: self.now,
            timeout,
            service_time,
            tried: Vec::new(),
            current: None,
            tries: 0,
            ended: false,
        });
        self.schedule(timeout, Event::Deadline { request });
        self.entries[entry].budget.earn();
        match self.choose(request) {
            Some(target) => self.dispatch(request, target),
            None => self.finish(request, Ended::Refused),
        }
    }

    fn choose(&mut self, request: usize) -> Option<Target> {
        let Request { entry, tried, .. } = &self.requests[request];
        let Entry { chooser, table, .. } = &mut self.entries[*entry];
        chooser.choose(self.now, table, tried, &mut self.choice_rng)
    }

    fn dispatch(&mut self, request: usize, target: Target) {
        let state = &mut self.requests[request];
        let entry = &mut self.entries[state.entry];
        entry.table.begin(&target, SERVICE);
        entry.chooser.begin(&target.agent);
        entry.next_id += 1;
        let name = format!("e{}", state.entry);
        let id = RequestId { entry: name, incarnation: 1, number: entry.next_id };
        state.tries += 1;
        state.current = Some((target.clone(), id.clone(), self.now));
        let deadline_in = (state.started + state.timeout).saturating_sub(self.now);
        self.by_id.insert(id.clone(), request);
        self.send(Event::Offer { request, target, id, deadline_in });
    }

    fn offer(&mut self, request: usize, target: &Target, id: RequestId, deadline_in: Duration) {
        let index = self.index(&target.agent);
        let work = self.scenario.work(index, self.requests[request].service_time);
        let instance = &mut self.instances[index];
        let deadline = self.now + deadline_in;
        let offer = match instance.incarnation == target.incarnation {
            true => instance.admission.offer(self.now, &id, deadline),
            false => instance.admission.refuse(self.now, &id, RefuseReason::WrongIncarnation),
        };
        instance.work.insert(id.clone(), work);
        match offer {
            Offer::Start => self.perform(index, vec![Action::Start(id)]),
            Offer::Queued => self.schedule(deadline_in, Event::Tick { instance: index }),
            Offer::Refused(refusal) => {
                self.perform(index, vec![Action::Refuse(id, refusal)]);
            }
            Offer::Repeated => unreachable!("ids are used once"),
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let instance = &mut self.instances[index];
            match action {
                Action::Start(id) => {
                    let Some(work) = instance.work.remove(&id) else { continue };
                    instance.running.insert(id.clone());
                    let fails = work.fails;
                    self.schedule(work.time, Event::Served { instance: index, id, fails });
                }
                Action::Refuse(id, refusal) => {
                    instance.work.remove(&id);
                    self.send(Event::Reply { id, reply: Reply::NotRun(refusal.reason) });
                }
                Action::Abort(id) => {
                    if instance.running.remove(&id) {
                        let actions = instance.admission.finish(self.now, &id, Ending::Failed);
                        self.perform(index, actions);
                    }
                }
            }
        }
    }

    fn served(&mut self, index: usize, id: &RequestId, fails: bool) {
        let instance = &mut self.instances[index];
        if instance.running.remove(id) {
            let actions = instance.admission.finish(self.now, id, Ending::Answered);
            self.perform(index, actions);
            self.send(Event::Reply { id: id.clone(), reply: Reply::Answer { fails } });
        }
    }

    fn cancel(&mut self, index: usize, id: RequestId) {
        let (reply, actions) = self.instances[index].admission.cancel(self.now, &id);
        self.perform(index, actions);
        self.send(Event::Reply { id, reply: Reply::Cancelled(reply) });
    }

    fn deadline(&mut self, request: usize) {
        let state = &self.requests[request];
        if state.ended {
            return;
        }
        if let Some((target, id, _)) = state.current.clone() {
            let instance = self.index(&target.agent);
            self.send(Event::Cancel { instance, id });
            self.schedule(PROOF_WAIT, Event::ProofEnd { request });
        }
    }

    fn reply(&mut self, id: &RequestId, reply: Reply) {
        let Some(request) = self.by_id.remove(id) else { return };
        let Some((_, _, begun)) = &self.requests[request].current else { return };
        let begun = *begun;
        match reply {
            Reply::Answer { fails: true } => self.end(request, Ended::Error, Feedback::Failed),
            Reply::Answer { fails: false } => {
                self.end(request, Ended::Answered, Feedback::Answered(self.now - begun));
            }
            Reply::NotRun(reason) => self.not_run(request, reason),
            Reply::Cancelled(CancelReply::NotStarted) => {
                self.end(request, Ended::Refused, Feedback::Abandoned);
            }
            Reply::Cancelled(CancelReply::Running | CancelReply::Done) => {
                self.end(request, Ended::Unknown, Feedback::Failed);
            }
        }
    }

    /// Maps refusals to feedback and retries as the entry does.
    fn not_run(&mut self, request: usize, reason: RefuseReason) {
        let feedback = match reason {
            RefuseReason::Leaving | RefuseReason::WrongIncarnation => Feedback::Unreachable,
            RefuseReason::DeadlinePassed => Feedback::Abandoned,
            RefuseReason::Overloaded => Feedback::Refused,
            _ => Feedback::Failed,
        };
        self.release(request, feedback);
        let state = &self.requests[request];
        let is_due = self.now >= state.started + state.timeout;
        let entry = state.entry;
        if reason == RefuseReason::DeadlinePassed || is_due {
            return self.finish(request, Ended::Refused);
        }
        match self.choose(request) {
            Some(target) if self.entries[entry].budget.spend() => self.dispatch(request, target),
            _ => self.finish(request, Ended::Refused),
        }
    }

    fn end(&mut self, request: usize, ended: Ended, feedback: Feedback) {
        if !self.requests[request].ended {
            self.release(request, feedback);
            self.finish(request, ended);
        }
    }

    /// Ends the current dispatch.
    fn release(&mut self, request: usize, feedback: Feedback) {
        let state = &mut self.requests[request];
        let Some((target, id, _)) = state.current.take() else { return };
        self.by_id.remove(&id);
        let entry = &mut self.entries[state.entry];
        entry.table.record_feedback(self.now, &target, SERVICE, feedback);
        entry.table.end(&target, SERVICE);
        entry.chooser.end(&target.agent);
        state.tried.push(target.agent);
    }

    fn finish(&mut self, request: usize, ended: Ended) {
        let state = &mut self.requests[request];
        state.ended = true;
        if state.started >= WARM_UP {
            self.report.record(ended, self.now - state.started, state.timeout, state.tries.max(1));
        }
    }

    fn announce(&mut self, instance: usize) {
        self.tell(instance);
        if self.now < END {
            self.schedule(ANNOUNCE_PERIOD, Event::Announce { instance });
        }
    }

    fn tell(&mut self, instance: usize) {
        for entry in self.homes[instance].clone() {
            let announce = self.instances[instance].announce(self.now);
            self.send(Event::Announced { entry, announce });
        }
    }

    fn announced(&mut self, index: usize, announce: Announce) {
        let instance = self.index(&announce.agent);
        let entry = &mut self.entries[index];
        entry.chooser.announced(&announce.agent, announce.incarnation);
        entry.table.announce(self.now, announce);
        entry.table.prune(self.now);
        let alive = entry.members.alive();
        if !alive.is_empty() {
            let alive = alive.iter().filter_map(|view| view.address.parse().ok());
            self.homes[instance] = alive.collect();
        }
    }

    /// Writes a heartbeat and lists the entries, while the store answers.
    fn list(&mut self, index: usize) {
        if self.scenario.is_store_up(self.now) {
            self.entries[index].counter += 1;
            let records = self.entries.iter().enumerate().map(|(index, entry)| EntryRecord {
                entry: format!("e{index}"),
                incarnation: 1,
                counter: entry.counter,
                http: String::new(),
                internal: index.to_string(),
                data_centre: "dc".into(),
                adopted: Default::default(),
                complete: true,
                predecessor: None,
                joined: true,
                stopped: false,
            });
            let records = records.collect();
            self.entries[index].members.observe(self.now, records);
        }
        if self.now < END {
            self.schedule(HEARTBEAT_INTERVAL, Event::List { entry: index });
        }
    }

    fn index(&self, agent: &str) -> usize {
        let index = self.instances.iter().position(|instance| instance.agent == agent);
        index.unwrap_or_else(|| unreachable!("{agent} was announced by an instance"))
    }
}
