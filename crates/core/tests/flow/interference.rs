//! Tests of the learned interference between pairs of images.

use std::collections::BTreeMap;

use peridotfold_core::flow::interference::Interference;
use peridotfold_core::flow::message::{Image, Sample};
use peridotfold_core::flow::model::TaskId;
use peridotfold_core::flow::pace::{BestEffortTask, ServingTask};
use peridotfold_core::flow::sampler::Sampler;

use crate::support::ms;

/// CPU of the worker, in thousandths of a core.
const CAPACITY: u64 = 16_000;

/// Guards against mistaking a pair with strong interference for a weak one. In the enlarged auction
/// workload scenario one pair in five interferes ten times as strongly as the others. Only tail
/// latencies show which, and these vary by a third between listings due to the serving tasks' own
/// load.
#[test]
fn strong_interference_is_told_from_weak_by_tail_latencies() {
    let weight = |serving: Image, best_effort: Image| match (serving * 7 + best_effort * 3) % 5 {
        0 => 4.0,
        _ => 0.2,
    };
    let mut interference = Interference::default();
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..6_000 {
        let changes: Vec<(Image, i32)> =
            (0..2).map(|_| (random.u32(0..18), random.i32(-3_200..3_200))).collect();
        let rise = |serving: Image, own: f64| {
            let caused: f64 =
                changes.iter().map(|(b, by)| weight(serving, *b) * f64::from(*by)).sum();
            (serving, (caused / CAPACITY as f64 * 1_000.0 + own) as i32)
        };
        let serving = [random.u32(0..9), random.u32(0..9)];
        let rises = serving.map(|image| rise(image, 600.0 * (random.f64() - 0.5))).to_vec();
        interference.learn(&Sample { rises, changes }, CAPACITY);
    }
    let pairs = (0..9).flat_map(|serving| (0..18).map(move |best_effort| (serving, best_effort)));
    let (heavy, light): (Vec<_>, Vec<_>) = pairs.partition(|(s, b)| weight(*s, *b) > 1.0);
    let known =
        |(serving, best_effort): &(Image, Image)| interference.weight(*serving, *best_effort);
    let lightest_heavy = heavy.iter().map(known).fold(f64::MAX, f64::min);
    let heaviest_light = light.iter().map(known).fold(0.0, f64::max);
    assert!(lightest_heavy > heaviest_light * 2.0, "{lightest_heavy} {heaviest_light}");
}

fn task(index: u32) -> TaskId {
    TaskId { job: 1, occurrence: 0, step: 0, index }
}

fn serving(index: u32, image: Image, tail_ms: u64) -> ServingTask {
    ServingTask { task: task(index), image, tail_ms, target_ms: 50 }
}

fn best_effort(index: u32, image: Image, used: u64) -> BestEffortTask {
    BestEffortTask { task: task(index), image, cpu: 4_000, used }
}

/// Guards against learning interference from wrong changes of tail latencies: of tasks that were
/// not in the worker's previous listing, or between listings so far apart that the load has
/// changed. Seven tenths of a change of usage count at once, the rest with the next listing.
#[test]
fn learning_uses_only_tasks_in_two_close_listings() {
    let mut sampler = Sampler::default();
    let first = ([serving(1, 10, 20)], [best_effort(2, 50, 1_000)]);
    assert_eq!(sampler.observe(ms(1_000), &first.0, &first.1), None);
    let second = (
        [serving(1, 10, 40), serving(3, 11, 90), serving(5, 10, 0)],
        [best_effort(2, 50, 1_000), best_effort(4, 51, 2_000)],
    );
    let sample =
        sampler.observe(ms(1_500), &second.0, &second.1).expect("best-effort work was added");
    assert_eq!(sample, Sample { rises: vec![(10, 693)], changes: vec![(51, 1_400)] });
    let third = ([serving(1, 10, 20), serving(3, 11, 45)], [best_effort(2, 50, 1_000)]);
    let sample =
        sampler.observe(ms(2_000), &third.0, &third.1).expect("best-effort work was removed");
    let rises: BTreeMap<Image, i32> = sample.rises.into_iter().collect();
    assert_eq!(rises, BTreeMap::from([(10, -693), (11, -693)]));
    assert_eq!(sample.changes, vec![(51, -800)]);
    let sample = sampler.observe(ms(2_450), &third.0, &third.1).expect("the rest of the change");
    assert_eq!(sample.changes, vec![(51, -600)]);
    assert_eq!(sampler.observe(ms(4_500), &second.0, &second.1), None, "two seconds later");
}

/// Guards against mistaking strong interference for weak on workers whose runs end several times a
/// second. Each end causes a listing; it covers nearly the same half second as the one before, so
/// that the usage of the ended run disappears while the tail latencies stay as they are.
#[test]
fn interference_is_learned_where_runs_end_often() {
    const WEIGHT: f64 = 4.0;
    let mut interference = Interference::default();
    let mut sampler = Sampler::default();
    let mut random = fastrand::Rng::with_seed(11);
    let mut before = 0.0;
    for window in 0..400_u64 {
        let tasks: Vec<BestEffortTask> =
            (0..random.u32(0..4)).map(|index| best_effort(2 + index, 50, 1_500)).collect();
        let share = tasks.len() as f64 * 1_500.0 / CAPACITY as f64;
        let rise = WEIGHT * (0.7 * share + 0.3 * before);
        let load = 0.3 * (random.f64() - 0.5);
        let tail = [serving(1, 10, (20.0 * (rise + load).exp()) as u64)];
        before = share;
        for listing in 0..=tasks.len() {
            let at = ms(1_000 + window * 500 + listing as u64 * 40);
            let sample = sampler.observe(at, &tail, &tasks[listing..]);
            sample.into_iter().for_each(|sample| interference.learn(&sample, CAPACITY));
        }
    }
    let known = interference.weight(10, 50);
    assert!((WEIGHT * 0.75..WEIGHT * 1.25).contains(&known), "{known}");
}
