//! The owner, the agents and their workers under faults, on virtual time.

use std::collections::{BTreeMap, VecDeque};

use peridotfold_core::flow::crashes::Crash;
use peridotfold_core::flow::evacuation::Evacuations;
use peridotfold_core::flow::incarnation;
use peridotfold_core::flow::message::{Token, WorkerInfo};
use peridotfold_core::flow::model::{JobNumber, JobSpec, TaskId};
use peridotfold_core::flow::node::{AgentState, Call, Outcome};
use peridotfold_core::flow::owner::{Commit, Owner, OwnerSettings, Session, Slot};
use peridotfold_core::flow::progress::{Phase, Progress};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::life::Life;
use crate::ms;

/// Step of the virtual clock, in milliseconds.
pub const TICK: u64 = 10;
/// Time within which an evacuation must be in force.
const BOUND: Time = ms(5_000);
/// Number of zones.
pub const ZONES: usize = 3;
/// Longest time for which an agent holds a worker that may have restarted.
const RESTART_HOLD: Time = ms(11_000);
/// Number of lines of the trace that a failure prints.
const TRACE_LINES: usize = 60;

/// What is wrong with a machine for a time: listings get no answer; orders get none and are carried
/// out late; starts are refused; runs fail at once; serving tasks are over their target.
#[derive(Debug, Clone, Copy)]
pub enum Harm {
    Silent,
    Late,
    Refusing,
    Failing,
    Pressed,
}

/// A machine with an agent and, most of the time, a worker.
#[derive(Debug, Default)]
pub struct Machine {
    pub agent: Option<AgentState>,
    /// Number of the agent's process.
    pub process: u64,
    /// The agent's connection with its slot and session at the owner, and when the last message on
    /// it arrives, each way.
    pub connection: Option<(u64, Slot, Session)>,
    pub arrivals: [Time; 2],
    pub life: Option<Life>,
    lives: u32,
    /// Heartbeats of older lives.
    past: Vec<(WorkerInfo, u64)>,
    /// Listing that waits for an end, and until when.
    pub held: Option<(u64, Token, Time)>,
    next_beat: Time,
    /// Until when each [`Harm`] lasts.
    pub harmed_until: [Time; 5],
}

impl Machine {
    pub fn has(&self, harm: Harm, now: Time) -> bool {
        now < self.harmed_until[harm as usize]
    }
}

/// What is wrong with a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// All its runs fail.
    Fails,
    /// The first task of each step crashes each worker that starts it.
    Crashes,
}

/// Crashes of workers under a task, and its starts since the third one.
#[derive(Debug, Default)]
pub struct CrashCount {
    pub crashes: u32,
    pub later_starts: u32,
}

/// A job, as the users know it.
#[derive(Debug)]
pub struct KnownJob {
    pub spec: JobSpec,
    pub flaw: Flaw,
    pub is_cancelled: bool,
}

/// Something that happens at a time.
type Event = Box<dyn FnOnce(&mut World)>;

#[derive(Default)]
pub struct World {
    pub now: Time,
    pub random: fastrand::Rng,
    pub term: Term,
    pub events: BTreeMap<(Time, u64), Event>,
    pub count: u64,
    pub machines: Vec<Machine>,
    pub jobs: BTreeMap<JobNumber, KnownJob>,
    /// What the store holds: progress by job, and the roster.
    records: BTreeMap<JobNumber, Progress>,
    roster: Vec<String>,
    crashes: Vec<Crash>,
    pub in_flight: Option<Commit>,
    pub store_away_until: Time,
    /// Calls that wait for an answer, with the process that waits.
    pub calls: BTreeMap<u64, (usize, u64, Call)>,
    /// When the last disturbance ends.
    pub disturbed_until: Time,
    /// Whether runs may stand still.
    pub may_stall: bool,
    /// Whether the workers of a machine have one raw ID, and tell when they began.
    pub is_reborn: bool,
    /// When each task was started last.
    pub started: BTreeMap<TaskId, Time>,
    /// Crashes by the task that causes them.
    pub crash_counts: BTreeMap<TaskId, CrashCount>,
    trace: VecDeque<String>,
    pub starts: u64,
    /// The operator's changes of zones, and what the entries know of them; `None` if there are none.
    pub zones: Option<Zones>,
}

/// Zones that the operator evacuates and returns.
#[derive(Debug, Default)]
pub struct Zones {
    /// Newest revision, and the revision and time of the last change of each zone that is evacuated.
    revision: u64,
    pub closed: BTreeMap<String, (u64, Time)>,
    /// What the entry of the owner knows.
    view: Evacuations,
    next_confirmation: Time,
}

/// An owner with the number of its term.
#[derive(Debug)]
pub struct Term {
    pub number: u32,
    pub owner: Owner,
}

impl Term {
    fn new(epoch: u32, now: Time, evacuation: Option<Time>) -> Self {
        let (permission, keep_ended, round_interval) = (ms(6_000), ms(120_000), ms(20));
        let remote_slowdown = 1.5;
        let settings = OwnerSettings {
            epoch,
            permission,
            keep_ended,
            remote_slowdown,
            round_interval,
            evacuation,
        };
        let mut owner = Owner::new(settings, now);
        owner.set_valid_until(Time::MAX);
        Term { number: epoch, owner }
    }
}

/// Returns the zone of a machine.
fn zone_of(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

impl Default for Term {
    fn default() -> Self {
        Term::new(1, ms(TICK), None)
    }
}

impl World {
    pub fn new(seed: u64, machines: usize) -> Self {
        let (now, random) = (ms(TICK), fastrand::Rng::with_seed(seed));
        let mut world = World { now, random, ..World::default() };
        for index in 0..machines {
            let agent = Some(AgentState::default());
            world.machines.push(Machine { agent, ..Machine::default() });
            let delay = world.delay(0, 200);
            world.at(delay, move |world| world.connect(index));
            world.at(delay, move |world| world.boot(index));
        }
        world
    }

    /// Lets the operator evacuate zones in this world.
    pub fn with_zones(mut self) -> Self {
        self.term = Term::new(1, self.now, Some(BOUND));
        self.zones = Some(Zones::default());
        self
    }

    /// Evacuates a zone, or returns it to service. The event is lost, late or repeated.
    pub fn change_zone(&mut self, zone: usize) {
        let (now, zone) = (self.now, zone_of(zone));
        let deliveries = [self.delay(1, 300), self.delay(1, 3_000)];
        let count = self.random.usize(0..=2);
        let Some(zones) = &mut self.zones else { return };
        zones.revision += 1;
        let revision = zones.revision;
        let is_evacuated = zones.closed.remove(&zone).is_none();
        if is_evacuated {
            zones.closed.insert(zone.clone(), (revision, now));
        }
        self.note(|| format!("zone {zone} evacuated: {is_evacuated}, {count} events"));
        self.disturb(now);
        for at in deliveries.into_iter().take(count) {
            let zone = zone.clone();
            self.at(at, move |world| {
                world.tell_zones(|view| {
                    view.note(&zone, revision, is_evacuated);
                });
            });
        }
    }

    /// Reads the operator's keys from time to time while the store answers.
    fn confirm_zones(&mut self) {
        let now = self.now;
        let (next, arrival) = (self.delay(300, 1_500), self.delay(5, 300));
        let is_away = now < self.store_away_until;
        let Some(zones) = self.zones.as_mut().filter(|z| !is_away && now >= z.next_confirmation)
        else {
            return;
        };
        zones.next_confirmation = next;
        let listed: Vec<(String, u64)> =
            zones.closed.iter().map(|(zone, change)| (zone.clone(), change.0)).collect();
        let revision = zones.revision;
        self.at(arrival, move |world| {
            world.tell_zones(|view| {
                view.replace(&listed, revision);
                view.confirm(now);
            });
        });
    }

    /// Changes what the owner's entry knows of zones, and tells the owner.
    fn tell_zones(&mut self, change: impl FnOnce(&mut Evacuations)) {
        let Some(zones) = &mut self.zones else { return };
        change(&mut zones.view);
        self.term.owner.know_evacuations(self.now, &zones.view);
    }

    /// Tells whether a machine is in an evacuated zone.
    pub fn is_evacuated(&self, index: usize) -> bool {
        self.zones.as_ref().is_some_and(|zones| zones.closed.contains_key(&zone_of(index)))
    }

    /// Fails the test if a start on a machine comes too late after its zone was evacuated.
    pub fn check_zone(&self, index: usize, what: &str) {
        let closed = self.zones.as_ref().and_then(|zones| zones.closed.get(&zone_of(index)));
        if let Some((_, since)) = closed.filter(|(_, since)| self.now > *since + BOUND) {
            self.fail("EVACUATED", &format!("{what} on node-{index}, closed since {since:?}"));
        }
    }

    /// Draws a time from now, between two delays in milliseconds.
    pub fn delay(&mut self, from: u64, to: u64) -> Time {
        self.now + ms(self.random.u64(from..=to))
    }

    pub fn at(&mut self, time: Time, event: impl FnOnce(&mut World) + 'static) {
        self.count += 1;
        self.events.insert((time, self.count), Box::new(event));
    }

    /// Lets something happen at a time, if the owner is still the same.
    pub fn at_owner(&mut self, time: Time, event: impl FnOnce(&mut World) + 'static) {
        let number = self.term.number;
        self.at(time, move |world| {
            if world.term.number == number {
                event(world);
            }
        });
    }

    pub fn note(&mut self, line: impl FnOnce() -> String) {
        if self.trace.len() == TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:6} {}", self.now.as_millis(), line()));
    }

    /// Fails the test with the last lines of the trace.
    pub fn fail(&self, rule: &str, what: &str) -> ! {
        self.trace.iter().for_each(|line| eprintln!("{line}"));
        panic!("{rule} at {} ms: {what}", self.now.as_millis());
    }

    /// Notes that a disturbance lasts until `time`.
    pub fn disturb(&mut self, time: Time) {
        self.disturbed_until = self.disturbed_until.max(time);
    }

    pub fn submit(&mut self, number: JobNumber, spec: JobSpec, flaw: Flaw) {
        self.note(|| format!("job {number} {flaw:?} {:?}", spec.steps));
        self.term.owner.submit(self.now, number, spec.clone());
        self.jobs.insert(number, KnownJob { spec, flaw, is_cancelled: false });
    }

    pub fn cancel(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.is_cancelled = true;
            self.term.owner.cancel(self.now, number);
        }
    }

    pub fn boot(&mut self, index: usize) {
        if self.machines[index].life.is_some() {
            return;
        }
        let (boot, rate) = (self.now, self.random.u32(98..=100));
        let large = self.random.u64(1..=2);
        let machine = &mut self.machines[index];
        machine.lives += 1;
        let id = match self.is_reborn {
            true => incarnation::join(&format!("worker-{index}"), Some(u64::from(machine.lives))),
            false => format!("life-{index}-{}", machine.lives),
        };
        let info = WorkerInfo {
            id,
            service: "svc".to_owned(),
            zone: zone_of(index),
            capacity: Resources::new(8_000 * large, 16_000 * large, 0),
            labels: vec![["a", "b"][index % 2].to_owned(), format!("r{}", index / 3)],
            draining: false,
            remaining: None,
        };
        machine.life = Some(Life::new(info, boot, rate));
        machine.next_beat = boot;
        self.note(|| format!("node-{index} boots"));
    }

    /// Ends the worker's process. A new life comes at the time `back`, if at all.
    pub fn crash(&mut self, index: usize, back: Option<Time>) {
        let Some(life) = self.machines[index].life.take() else { return };
        self.machines[index].past.push((life.info, life.sequence + 1));
        if let Some((call, _, _)) = self.machines[index].held.take() {
            let at = self.delay(0, 5);
            self.at(at, move |world| world.answer(call, Err(Outcome::Unclear)));
        }
        match back {
            Some(back) => self.at(back, move |world| world.boot(index)),
            // A start without an answer is given up only after this time.
            None if self.is_reborn => self.disturb(self.now + RESTART_HOLD),
            None => {}
        }
    }

    /// Changes the capacity of a worker to a part of `full`, in percent. What it was before counts for
    /// 3 s and the interval of a heartbeat.
    pub fn resize(&mut self, index: usize, percent: u64, full: Resources) {
        let part = |amount: u64| amount * percent / 100;
        let capacity = Resources::new(part(full.cpu_milli), part(full.memory_mib), 0);
        let (now, until) = (self.now, self.now + ms(4_000));
        if let Some(life) = &mut self.machines[index].life {
            life.resize(capacity, now, until);
            self.note(|| format!("node-{index} has {capacity:?}"));
            self.disturb(now);
        }
    }

    /// Lets the worker drain; it leaves at the time `end`.
    pub fn drain(&mut self, index: usize, end: Time, back: Option<Time>) {
        let now = self.now;
        let life = self.machines[index].life.as_mut().filter(|life| !life.info.draining);
        let Some(life) = life else { return };
        life.info.draining = true;
        life.info.remaining = Some(end - now);
        let id = life.info.id.clone();
        self.machines[index].next_beat = now;
        self.at(end, move |world| {
            let life = world.machines[index].life.as_ref();
            if life.is_some_and(|life| life.info.id == id) {
                let is_plain = world.is_reborn && world.random.bool();
                let id = if is_plain { incarnation::split(&id).0 } else { &id };
                world.agent(index, |agent, now| agent.deregister(now, id));
                world.crash(index, back);
            }
        });
    }

    /// Restarts the agent's process; it is back at the time `up`.
    pub fn restart_agent(&mut self, index: usize, up: Time) {
        if self.machines[index].agent.take().is_some() {
            self.lose_session(index);
            self.machines[index].process += 1;
            self.at(up, move |world| {
                world.machines[index].agent = Some(AgentState::default());
                world.connect(index);
            });
        }
    }

    /// Ends the session of a machine's agent; both sides notice it later.
    pub fn lose_session(&mut self, index: usize) {
        let Some((_, slot, session)) = self.machines[index].connection.take() else { return };
        self.lose_owner(index);
        let at = self.delay(0, 2_300);
        self.at_owner(at, move |world| world.term.owner.disconnect(slot, session));
    }

    /// Lets an agent notice later that its connection has ended, and open another one after that. An
    /// agent that is restarted meanwhile opens its own.
    fn lose_owner(&mut self, index: usize) {
        let (at, process) = (self.delay(0, 2_300), self.machines[index].process);
        self.at(at, move |world| {
            if world.machines[index].process == process {
                world.agent(index, |agent, _| agent.disconnected());
                let at = world.delay(50, 700);
                world.at(at, move |world| {
                    if world.machines[index].process == process {
                        world.connect(index);
                    }
                });
            }
        });
    }

    /// Lets a machine's agent act, if there is one.
    pub fn agent(&mut self, index: usize, act: impl FnOnce(&mut AgentState, Time)) {
        if let Some(agent) = &mut self.machines[index].agent {
            act(agent, self.now);
            self.perform(index);
        }
    }

    /// Delivers a delayed heartbeat of an older life, or one of another writer.
    pub fn late_beat(&mut self, index: usize) {
        if let Some((mut info, sequence)) = self.machines[index].past.last().cloned() {
            if self.is_reborn {
                let name = incarnation::split(&info.id).0.to_owned();
                info.id = match self.random.u8(0..3) {
                    0 => incarnation::join(&name, None),
                    1 => incarnation::join(&name, Some(u64::MAX)),
                    _ => info.id,
                };
            }
            self.agent(index, |agent, now| agent.heartbeat(now, info, sequence));
        }
    }

    /// Replaces the owner with a successor that loads what the store holds.
    pub fn take_over(&mut self) {
        if self.random.bool() {
            self.apply_commit();
        }
        self.in_flight = None;
        let bound = self.zones.as_ref().map(|_| BOUND);
        self.term = Term::new(self.term.number + 1, self.now, bound);
        if let Some(zones) = self.zones.as_ref().filter(|_| self.random.bool()) {
            self.term.owner.know_evacuations(self.now, &zones.view);
        }
        self.term.owner.set_predecessor(self.now, self.roster.clone());
        self.term.owner.inherit_crashes(self.crashes.clone());
        for (number, job) in &self.jobs {
            let progress = self.records.get(number).cloned().unwrap_or_default();
            match progress.phase.is_final() {
                true => self.term.owner.inherit_ended(self.now, *number, progress),
                false => self.term.owner.inherit(self.now, *number, job.spec.clone(), progress),
            }
            if job.is_cancelled {
                self.term.owner.cancel(self.now, *number);
            }
        }
        for index in 0..self.machines.len() {
            if self.machines[index].connection.take().is_some() {
                self.lose_owner(index);
            }
        }
    }

    /// Takes the store away until a time; the owner's lease ends meanwhile.
    pub fn store_away(&mut self, until: Time) {
        self.store_away_until = until;
        self.term.owner.set_valid_until(self.now + ms(2_000));
        self.at_owner(until, |world| world.term.owner.set_valid_until(Time::MAX));
    }

    /// Lets the store hold what the owner has sent to it.
    pub fn apply_commit(&mut self) {
        let Some(commit) = self.in_flight.take() else { return };
        self.records.extend(commit.records.into_iter().map(|record| (record.job, record.progress)));
        self.crashes = commit.crashes.unwrap_or(std::mem::take(&mut self.crashes));
        self.roster = commit.roster.unwrap_or(std::mem::take(&mut self.roster));
    }

    /// Returns all runs on workers that are up.
    pub fn live(&self) -> impl Iterator<Item = (&Life, &TaskId)> {
        let lives = self.machines.iter().filter_map(|machine| machine.life.as_ref());
        lives.flat_map(|life| life.running.keys().map(move |task| (life, task)))
    }

    /// Advances the clock by one tick.
    pub fn tick(&mut self) {
        self.now += ms(TICK);
        while let Some(next) = self.events.first_entry().filter(|next| next.key().0 <= self.now) {
            next.remove()(self);
        }
        let gang = |task: &TaskId, run| (TaskId { index: 0, ..*task }, run);
        let mut present: BTreeMap<(TaskId, u32), u32> = BTreeMap::new();
        for (life, task) in self.live() {
            *present.entry(gang(task, life.running[task].run)).or_default() += 1;
        }
        let count = |task: &TaskId, run| present[&gang(task, run)];
        for index in 0..self.machines.len() {
            let machine = &mut self.machines[index];
            let is_pressed = machine.has(Harm::Pressed, self.now);
            if let Some(life) = &mut machine.life {
                let calm = 40 + (life.sequence % 4) as u32 * 10;
                life.tail_percent = if is_pressed { 150 } else { calm };
                let ends = life.advance(self.now, TICK, count);
                if !ends.is_empty() {
                    self.note(|| format!("node-{index} ended {ends:?}"));
                }
            }
            self.beat(index);
            self.answer_held(index);
            self.agent(index, |agent, now| agent.poll(now));
        }
        self.confirm_zones();
        self.run_owner();
    }

    fn beat(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let is_due = self.now >= machine.next_beat;
        let Some(life) = machine.life.as_mut().filter(|_| is_due) else { return };
        machine.next_beat = self.now + ms(1_000);
        life.sequence += 1;
        let (info, sequence) = (life.info.clone(), life.sequence);
        let at = self.delay(1, 20);
        self.at(at, move |world| {
            world.agent(index, |agent, now| agent.heartbeat(now, info, sequence))
        });
    }

    /// Tells whether the store shows that a task is done.
    pub fn is_done(&self, task: &TaskId) -> bool {
        let Some(record) = self.records.get(&task.job) else { return false };
        record.phase == Phase::Completed
            || record.steps.get(&(0, task.step)).is_some_and(|step| step.done.contains(task.index))
    }

    /// Tells whether a job has ended, as far as the store or the users know.
    pub fn is_over(&self, number: JobNumber) -> bool {
        self.jobs[&number].is_cancelled
            || self.records.get(&number).is_some_and(|record| record.phase.is_final())
    }
}
