//! Checks liveness: what is ready runs soon if there is room and nothing disturbs.

use std::collections::{BTreeMap, BTreeSet};

use peridotfold_core::flow::model::{JobNumber, Step, TaskId};
use peridotfold_core::flow::progress::Phase;
use peridotfold_core::resources::Resources;
use peridotfold_core::time::Time;

use crate::life::Life;
use crate::ms;
use crate::world::{Harm, Machine, World};

/// Time after a disturbance from which the checks bind.
const SETTLE: Time = ms(4_000);
/// Time after a disturbance from which the checks of steps bind: a worker that was lost together with
/// its agent is known to be lost when its permission of 6 s and a margin of 0.2 s have run out, relief
/// is due 2 s later, and timers and messages take up to 0.2 s.
const SETTLE_STEPS: Time = ms(8_400);
/// Time for which a ready step may be without runs.
const MAX_IDLE: Time = ms(3_000);
/// Time from the end of a long-running task's run to the next.
const MAX_AWAY: Time = ms(6_000);

/// Time after the start of a run from which its job may not count as waiting: the platform lets the
/// count be 2 s old.
const MAX_UNSEEN: Time = ms(2_000);

/// What has been without a run, and since when.
#[derive(Debug, Default)]
pub struct Watch {
    steps: BTreeMap<(JobNumber, usize), Time>,
    tasks: BTreeMap<TaskId, Time>,
}

impl Watch {
    /// Looks at all jobs; fails the test if one has waited too long.
    pub fn look(&mut self, world: &World) {
        let running: BTreeSet<TaskId> = world.live().map(|(_, task)| *task).collect();
        let is_calm = world.now >= world.disturbed_until + SETTLE;
        let is_roomy = is_half_free(world);
        let (mut steps, mut tasks) = (BTreeMap::new(), BTreeMap::new());
        for (number, job) in world.jobs.iter().filter(|(n, _)| is_calm && !world.is_over(**n)) {
            let task = |step, index| TaskId { job: *number, occurrence: 0, step, index };
            let is_done = |index: usize| {
                let step = &job.spec.steps[index];
                (0..step.count).all(|n| world.is_done(&task(index as u16, n)))
            };
            for (index, step) in job.spec.steps.iter().enumerate() {
                let is_ready = step.after.iter().all(|after| is_done(usize::from(*after)));
                if !is_ready || is_done(index) || !has_room(world, *number, index, step) {
                    continue;
                }
                let away = |n: &u32| !running.contains(&task(index as u16, *n));
                let ids = (0..step.count).filter(away).map(|n| task(index as u16, n));
                let ids: Vec<TaskId> = ids.collect();
                let key = (*number, index);
                if step.long_running {
                    for id in ids {
                        let since = waits_since(world, self.tasks.get(&id), world.started.get(&id));
                        tasks.insert(id, since);
                        if world.now >= since + MAX_AWAY {
                            world.fail("LOST", &format!("{id} is away since {since:?}: {step:?}"));
                        }
                    }
                } else if (is_roomy || step.best_effort) && ids.len() == step.count as usize {
                    let last = ids.iter().filter_map(|id| world.started.get(id)).max();
                    let since = waits_since(world, self.steps.get(&key), last);
                    steps.insert(key, since);
                    let bound = (since + MAX_IDLE).max(world.disturbed_until + SETTLE_STEPS);
                    if world.now >= bound {
                        let what = format!("step {key:?} is idle since {since:?}: {step:?}");
                        world.fail("LOST", &what);
                    }
                }
            }
        }
        (self.steps, self.tasks) = (steps, tasks);
        check_begun(world, is_calm);
    }
}

/// Checks that a job is shown as running only once a worker has begun a task of it, and if it
/// `is_calm` soon after that.
fn check_begun(world: &World, is_calm: bool) {
    let begun: BTreeSet<JobNumber> = world.started.keys().map(|task| task.job).collect();
    for number in world.jobs.keys().filter(|number| !begun.contains(number)) {
        if world.term.owner.phase(*number) == Some(Phase::Running) {
            world
                .fail("MIXED", &format!("job {number} runs, but no worker has begun a task of it"));
        }
    }
    for (_, task) in world.live().filter(|(_, task)| is_calm && !world.is_over(task.job)) {
        let is_old = world.now >= world.started[task] + MAX_UNSEEN;
        if is_old && world.term.owner.phase(task.job) == Some(Phase::Queued) {
            world.fail("MIXED", &format!("{task} runs, but its job counts as waiting"));
        }
    }
}

/// Returns since when something has been without a run: at the earliest since its last start, because
/// a run can begin and end between two looks.
fn waits_since(world: &World, seen: Option<&Time>, started: Option<&Time>) -> Time {
    let seen = seen.copied().unwrap_or(world.now);
    started.map_or(seen, |started| seen.max(*started))
}

/// Returns the workers that are up, sound, not draining and not in an evacuated zone.
fn sound(world: &World) -> impl Iterator<Item = &Life> {
    let has = |machine: &Machine, harm| machine.has(harm, world.now);
    let is_sound =
        move |machine: &&Machine| !has(machine, Harm::Refusing) && !has(machine, Harm::Failing);
    let machines = world.machines.iter().enumerate();
    let machines = machines.filter(|(index, _)| !world.is_evacuated(*index)).map(|(_, m)| m);
    let lives = machines.filter(is_sound).filter_map(|machine| machine.life.as_ref());
    lives.filter(|life| !life.info.draining)
}

/// Tells whether less than half of the capacity of all workers is in use.
fn is_half_free(world: &World) -> bool {
    let add = |(used, all): (Resources, Resources), life: &Life| {
        (used.plus(&life.used()), all.plus(&life.info.capacity))
    };
    let (used, all) = sound(world).fold((Resources::default(), Resources::default()), add);
    used.times(2).fits_in(&all)
}

/// Tells whether a worker could take a task of a step twice over; for a gang, the workers together
/// all its tasks.
fn has_room(world: &World, job: JobNumber, index: usize, step: &Step) -> bool {
    let need = step.reserved();
    let copies = |life: &Life| {
        let own = life.running.keys().filter(|t| t.job == job && usize::from(t.step) == index);
        let is_open = step.required_label.as_ref().is_none_or(|l| life.info.labels.contains(l))
            && (step.per_worker == 0 || (own.count() as u32) < step.per_worker);
        let used = life.used();
        let fits = |n: &u64| used.plus(&need.times(*n)).fits_in(&life.info.capacity);
        if is_open {
            (1..=2 * u64::from(step.count)).take_while(fits).count() as u32
        } else {
            0
        }
    };
    match step.gang {
        true => sound(world).map(copies).sum::<u32>() >= 2 * step.count,
        false => sound(world).any(|life| copies(life) >= 2),
    }
}
