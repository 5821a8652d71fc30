//! Tests of the actual speed of workers: what is learned from ends of runs, and what follows.

use std::collections::BTreeMap;

use bolero::check;
use peridotfold_core::flow::message::{EndKind, Pressure};
use peridotfold_core::flow::model::{JobNumber, JobSpec, Run, Step, TaskId};
use peridotfold_core::flow::speed::{RunTime, RunTimes, Speed};
use peridotfold_core::time::Time;

use crate::support::{job, ms, step, World};

/// A world in which runs take as long as their jobs say, times the factor of their worker.
struct Fleet {
    world: World,
    /// Factor of each worker's run times, in percent.
    factors: Vec<u64>,
    /// Run time at normal speed by job, in milliseconds.
    times: BTreeMap<JobNumber, u64>,
    /// When each run ends.
    due: BTreeMap<(TaskId, Run), Time>,
    seen: usize,
}

impl Fleet {
    fn new(factors: &[u64], cpu: u64) -> Self {
        let world = World::new(factors.len(), cpu);
        let (times, due) = (BTreeMap::new(), BTreeMap::new());
        Fleet { world, factors: factors.to_vec(), times, due, seen: 0 }
    }

    /// Submits a job whose runs take `took` milliseconds at normal speed.
    fn submit(&mut self, number: JobNumber, took: u64, spec: JobSpec) {
        self.times.insert(number, took);
        self.world.submit(number, spec);
    }

    /// Advances the clock in steps of 100 ms, and ends the runs that are due.
    fn run(&mut self, by: u64) {
        for _ in 0..by / 100 {
            for (at, index, task, run) in &self.world.started[self.seen..] {
                let took = self.times[&task.job] * self.factors[*index] / 100;
                self.due.insert((*task, *run), *at + ms(took));
            }
            self.seen = self.world.started.len();
            self.world.advance(ms(100));
            for index in 0..self.factors.len() {
                let now = self.world.now;
                let is_due = |(task, run): (&TaskId, Run)| self.due[&(*task, run)] <= now;
                let rows = self.world.workers[index].running.iter().map(|(t, s)| (t, s.run));
                // Runs that have just been started are not in `due` yet.
                let known = rows.filter(|(t, run)| self.due.contains_key(&(**t, *run)));
                let ended: Vec<TaskId> =
                    known.filter(|row| is_due(*row)).map(|(task, _)| *task).collect();
                for task in ended {
                    self.world.end(index, task, EndKind::Done);
                }
            }
            self.world.settle();
        }
    }

    /// Submits a job of one step of short tasks each second, `count` of one core and `took` ms.
    fn feed(&mut self, seconds: u64, count: u32, took: u64) {
        for _ in 0..seconds {
            let number = 1 + self.times.len() as u64;
            self.submit(number, took, job(2, vec![step(count, 1_000, took)]));
            self.run(1_000);
        }
    }

    /// Returns the nodes in the logged events of a kind, in order.
    fn logged(&self, event: &str) -> Vec<String> {
        let rows = self.world.logs.iter().filter(|(name, _)| *name == event);
        rows.map(|(_, detail)| detail.split(' ').next().unwrap_or("").to_owned()).collect()
    }

    /// Returns the number of starts on a worker since a number of starts before.
    fn starts_on(&self, index: usize, since: usize) -> usize {
        self.world.started[since..].iter().filter(|row| row.1 == index).count()
    }
}

/// Guards against jobs that wait for a worker far slower than the others, and against large workers
/// that look slow or fast because they run more tasks. Pattern: a third of the workers 1.5 times as
/// large, one 8 times slower.
#[test]
fn a_worker_far_slower_than_the_others_gets_what_fits_nowhere_else() {
    let mut fleet = Fleet::new(&[100, 100, 100, 100, 100, 800], 8_000);
    fleet.world.resize(0, 12_000);
    fleet.world.resize(1, 12_000);
    fleet.feed(12, 24, 700);
    assert_eq!(fleet.logged("worker_slow"), ["node=node-5"]);
    let before = fleet.world.started.len();
    fleet.feed(3, 24, 700);
    assert_eq!(fleet.starts_on(5, before), 0, "the slow worker is used beside free ones");
    fleet.feed(1, 60, 700);
    assert!(fleet.starts_on(5, before) > 0, "the slow worker is closed");
}

/// Guards against long-running tasks that avoid workers whose speed does not matter to them.
#[test]
fn long_running_tasks_disregard_the_speed() {
    let mut fleet = Fleet::new(&[800, 100, 100, 100, 100], 8_000);
    fleet.feed(8, 24, 700);
    assert_eq!(fleet.world.owner.slow_workers(), 1);
    fleet.run(8_000);
    fleet.submit(90, 60_000, job(2, vec![Step { long_running: true, ..step(1, 1_000, 0) }]));
    assert_eq!(fleet.world.running()[0].0, 0, "the first worker of equal ones");
}

/// Guards against a worker that stays behind for long after a short disturbance. Pattern: a worker
/// that turns slow for 6 s and recovers.
#[test]
fn a_worker_that_recovers_counts_as_normal_again() {
    let mut fleet = Fleet::new(&[100; 6], 8_000);
    fleet.feed(4, 24, 700);
    fleet.factors[2] = 800;
    fleet.feed(6, 24, 700);
    fleet.factors[2] = 100;
    fleet.feed(4, 24, 700);
    assert_eq!(fleet.logged("worker_slow"), ["node=node-2"]);
    fleet.feed(20, 24, 700);
    assert_eq!(fleet.world.owner.slow_workers(), 0);
    assert_eq!(fleet.logged("worker_normal"), ["node=node-2"]);
}

/// Guards against a fleet in which the workers that end a run first look slow. Pattern: all workers
/// turn slow at once.
#[test]
fn nobody_is_slow_if_all_workers_are() {
    let mut fleet = Fleet::new(&[100; 8], 8_000);
    for number in 1..=4 {
        fleet.submit(number, 400 + 200 * number, job(2, vec![step(600, 1_000, 700)]));
        fleet.run(1_000);
    }
    fleet.factors = vec![800; 8];
    fleet.run(30_000);
    assert_eq!(fleet.logged("worker_slow"), Vec::<String>::new());
}

/// Guards against estimates of run times that are taken for the speed of workers. Pattern: estimates
/// that are wrong by a little more than a factor of two, either way by job, and jobs that run on some of the workers only.
#[test]
fn wrong_estimates_do_not_look_like_slow_workers() {
    let mut fleet = Fleet::new(&[100; 6], 8_000);
    for number in 1..=20 {
        let (took, rack) = if number % 2 == 0 { (400, "r0") } else { (1_600, "r1") };
        let step = Step { required_label: Some(rack.to_owned()), ..step(12, 1_000, 700) };
        fleet.submit(number, took, job(2, vec![step]));
        fleet.run(1_000);
    }
    assert_eq!(fleet.logged("worker_slow"), Vec::<String>::new());
}

/// Guards against ends that wait for an agent's connection and look like slow runs. Pattern: workers
/// whose agents lose their session again and again.
#[test]
fn ends_that_waited_for_a_session_are_not_evidence() {
    let mut fleet = Fleet::new(&[100, 100, 100, 100, 100], 8_000);
    for round in 0..8 {
        let number = 1 + round;
        fleet.submit(number, 600, job(2, vec![step(24, 1_000, 600)]));
        let worker = &fleet.world.workers[4];
        let (slot, session) = (worker.slot, worker.session);
        fleet.world.owner.disconnect(slot, session);
        fleet.run(3_000);
        fleet.world.connect(4);
        fleet.world.attach(4);
        fleet.run(500);
    }
    assert!(fleet.starts_on(4, 0) > 10, "the worker had no runs");
    assert_eq!(fleet.logged("worker_slow"), Vec::<String>::new());
}

/// Guards against a new worker that is preferred or avoided before anything is known of it.
#[test]
fn an_empty_new_worker_counts_as_normal() {
    let mut fleet = Fleet::new(&[100; 5], 8_000);
    fleet.feed(4, 24, 700);
    fleet.factors.push(100);
    fleet.world.add_worker(5, 8_000);
    fleet.run(1_000);
    let before = fleet.world.started.len();
    fleet.feed(3, 30, 700);
    let counts: Vec<usize> = (0..6).map(|index| fleet.starts_on(index, before)).collect();
    assert_eq!(counts, [15; 6]);
}

/// Guards against a restarted worker that inherits the speed of its former incarnation.
#[test]
fn a_new_incarnation_counts_as_normal() {
    let mut fleet = Fleet::new(&[800, 100, 100, 100, 100], 8_000);
    fleet.feed(8, 24, 700);
    assert_eq!(fleet.world.owner.slow_workers(), 1);
    fleet.world.crash(0);
    fleet.world.connect(0);
    fleet.world.attach(0);
    fleet.world.advance(ms(600));
    assert_eq!(fleet.world.owner.slow_workers(), 0);
}

/// Guards against adopted runs that are taken for fast, because a successor does not know when they
/// began. Pattern: takeover in the middle.
#[test]
fn a_successor_learns_only_from_its_own_runs() {
    let mut fleet = Fleet::new(&[100, 100, 100, 100, 800], 8_000);
    let spec = job(2, vec![step(20, 1_000, 4_000)]);
    fleet.submit(1, 4_000, spec.clone());
    fleet.run(3_000);
    fleet.world.take_over(&[(1, spec)]);
    (0..5).for_each(|index| fleet.world.attach(index));
    fleet.run(30_000);
    assert_eq!(fleet.logged("worker_slow"), Vec::<String>::new(), "from adopted runs");
    fleet.feed(10, 24, 700);
    assert_eq!(fleet.logged("worker_slow"), ["node=node-4"], "learned again");
}

/// Guards against throttled runs and runs far from their data that are taken for slow workers.
#[test]
fn throttled_and_far_runs_are_not_evidence() {
    let mut fleet = Fleet::new(&[100, 100, 100, 100, 100, 100, 300], 4_000);
    fleet.world.workers[6].pressure = Some(Pressure { level: 40, tail_percent: 90 });
    fleet.world.ping();
    let paced = Step { best_effort: true, ..step(28, 1_000, 600) };
    let far = Step { preferred_rack: Some("r0".to_owned()), ..step(28, 1_000, 600) };
    for number in 1..=8 {
        let kind = if number % 2 == 0 { &paced } else { &far };
        fleet.submit(number, 600, job(2, vec![kind.clone()]));
        fleet.run(3_000);
    }
    assert!(fleet.starts_on(6, 0) > 20, "the worker had no runs");
    assert_eq!(fleet.logged("worker_slow"), Vec::<String>::new());
}

/// Returns the number of runs moved after a job has begun on all workers, one of which needs
/// `slowness` percent of the normal run time.
fn moves(has_checkpoints: bool, slowness: u64) -> usize {
    let mut fleet = Fleet::new(&[100, 100, 100, 100, slowness], 8_000);
    fleet.feed(10, 30, 700);
    assert_eq!(fleet.world.owner.slow_workers(), 1);
    fleet.run(3_000);
    let spec = Step { has_checkpoints, ..step(40, 1_000, 700) };
    fleet.submit(100, 700, job(2, vec![spec]));
    fleet.run(6_000);
    fleet.logged("straggler_moved").len()
}

/// Guards against a step that waits for its runs on a slow worker, and against work that is thrown
/// away: by runs without checkpoints, and by runs that are about to end.
#[test]
fn overdue_runs_leave_a_slow_worker() {
    assert_eq!(moves(true, 800), 4, "one each 0.5 s, from 2.1 s until a quarter is left at 4.2 s");
    assert_eq!(moves(false, 800), 0, "without checkpoints");
    assert_eq!(moves(true, 350), 0, "about to end");
}

/// Guards against a node that counts as slow after one or two odd runs, and against old evidence that
/// does not fade.
#[test]
fn few_or_old_runs_count_as_normal() {
    let mut speed = Speed::default();
    speed.learn(ms(1_000), 8.0);
    speed.learn(ms(2_000), 8.0);
    assert_eq!(speed.factor(ms(2_000)), 1.0);
    speed.learn(ms(3_000), 8.0);
    assert!(speed.factor(ms(3_000)) > 7.9);
    assert!((speed.factor(ms(13_000)) - 8f64.sqrt()).abs() < 0.01);
    assert!(speed.factor(ms(19_500)) < 2.0);
    speed.learn(ms(40_000), 8.0);
    assert_eq!(speed.factor(ms(40_000)), 1.0, "evidence of a former time counts");
}

/// Guards against a comparison with runs on the same node or from before a change of all nodes.
#[test]
fn siblings_ran_elsewhere_at_the_same_time() {
    let mut times = RunTimes::default();
    let run = |slot, ended, took| RunTime { slot, ended: ms(ended), took: ms(took) };
    (1..=3).for_each(|slot| times.add(run(slot, 1_500, 500)));
    (0..3).for_each(|_| times.add(run(9, 3_000, 2_000)));
    assert_eq!(times.ratio(&run(9, 3_000, 2_000), |_| true), Some(4.0));
    assert_eq!(times.ratio(&run(9, 5_000, 2_000), |_| true), None);
}

/// Returns the starts of jobs of best-effort tasks, each described by number of tasks, CPU and run
/// time, on workers of equal speed that report a pace.
fn starts(jobs: &[(u8, u8, u8)], level: u32) -> Vec<(Time, usize, TaskId, Run)> {
    let mut fleet = Fleet::new(&[100; 5], 8_000);
    fleet.world.pressure = Pressure { level, tail_percent: 0 };
    fleet.world.ping();
    for ((count, cpu, time), number) in jobs.iter().zip(1..) {
        let (count, cpu) = (1 + u32::from(*count) % 24, 250 + 10 * u64::from(*cpu));
        let best_effort = Step { best_effort: true, ..step(count, cpu, 500) };
        fleet.submit(number, 100 + 10 * u64::from(*time), job(2, vec![best_effort]));
        fleet.run(500);
    }
    fleet.run(4_000);
    fleet.world.started
}

/// Guards against placement that changes by the noise of run times. With equal speeds it is that of an
/// owner without evidence; a pace below 100 % makes it discard all evidence and changes nothing else.
#[test]
fn with_equal_speeds_placement_is_as_without_evidence() {
    check!().with_iterations(60).with_type::<Vec<(u8, u8, u8)>>().for_each(|jobs| {
        let jobs = &jobs[..jobs.len().min(8)];
        assert_eq!(starts(jobs, 100), starts(jobs, 99));
    });
}
