//! Tests of the dry run that explains a placement.

use std::collections::BTreeMap;

use peridotfold_core::flow::explain::{ExplainJob, ExplainReply, ExplainedStep};
use peridotfold_core::flow::message::EndKind;
use peridotfold_core::flow::model::{JobSpec, Step};

use crate::support::{job, ms, step, World};

fn explain(world: &mut World, job: ExplainJob) -> Vec<ExplainedStep> {
    match world.owner.explain(world.now, job) {
        ExplainReply::Steps(steps) => steps,
        other => panic!("{other:?}"),
    }
}

/// Returns a job of a step with random properties.
fn random_job(random: &mut fastrand::Rng) -> JobSpec {
    let mut task = step(1 + random.u32(0..5), random.u64(1..9) * 500, random.u64(0..9) * 400);
    task.preferred_rack = random.bool().then(|| format!("r{}", random.u32(0..3)));
    task.same_rack = random.u8(0..4) == 0;
    task.gang = random.u8(0..4) == 0;
    task.best_effort = random.u8(0..3) == 0;
    task.long_running = random.u8(0..6) == 0;
    task.per_worker = random.u32(0..3);
    job(3, vec![task])
}

/// Guards against an explanation that differs from what placement does, or that changes it.
#[test]
fn an_explanation_is_the_placement_that_then_happens() {
    for seed in 0..150 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut world = World::with_slowdown(9, 4_000, 3.0);
        let mut earlier = 0;
        for number in 0..30 {
            let spec = random_job(&mut random);
            let before = format!("{:?}", world.owner);
            let mut steps = explain(&mut world, ExplainJob::New(Box::new(spec.clone())));
            let after = format!("{:?}", world.owner);
            let strip = |text: &str| text.split("explain_limit").next().map(str::to_owned);
            assert!(strip(&before) == strip(&after), "seed {seed}: it changes the owner");
            let step = steps.pop().expect("one step");
            let logged = world.logs.len();
            world.submit(number, spec);
            let started: BTreeMap<u32, String> = world
                .running()
                .into_iter()
                .filter(|(_, task)| task.job == number)
                .map(|(worker, task)| (task.index, format!("node-{worker}")))
                .collect();
            let told: BTreeMap<u32, String> =
                step.starts.iter().map(|start| (start.index, start.node.clone())).collect();
            assert_eq!(told, started, "seed {seed}, job {number}");
            let is_near = |row: &&(&str, String)| row.0.starts_with("near_wait");
            let recent = world.logs[earlier..].iter().filter(is_near).count();
            let near = world.logs[logged..].iter().filter(is_near);
            earlier = logged;
            let waits = near.filter(|(event, detail)| {
                *event == "near_wait" && detail.contains(&format!("task={number:016x}."))
            });
            // At most 8 lines a second tell of waits: compare if none can have been left out.
            if recent < 8 {
                assert_eq!(step.near_waits.len(), waits.count(), "seed {seed}, job {number}");
            }
            world.advance(ms(1_000));
            let done = random.u64(0..30);
            world.end_all(EndKind::Done, |task| task.job == done);
        }
    }
}

/// Guards against answers that do not tell why a task has no node, or when it may get one.
#[test]
fn a_step_without_room_is_explained_in_the_words_of_step_waits() {
    let mut world = World::new(2, 4_000);
    world.submit(1, job(1, vec![step(2, 4_000, 5_000)]));
    let second = Step { after: vec![0], ..step(3, 1_000, 500) };
    world.submit(2, job(1, vec![step(1, 1_000, 500), second]));
    world.advance(ms(1_000));
    let steps = explain(&mut world, ExplainJob::Known(2));
    let first = &steps[0];
    assert!(first.is_ready && first.starts.is_empty() && first.kept.is_empty());
    assert_eq!((first.waiting, first.open, first.fits), (1, 2, 0));
    assert_eq!(first.misfits, [("Room".to_owned(), 2)]);
    assert_eq!((first.wait_ms, first.end_ms), (Some(4_000), None));
    assert!(!steps[1].is_ready);
    let placed = Box::new(job(1, vec![Step { best_effort: true, ..step(1, 100, 700) }]));
    world.end_all(EndKind::Done, |task| task.job == 1);
    world.advance(ms(1_000));
    let placed = &explain(&mut world, ExplainJob::New(placed))[0];
    assert_eq!((placed.starts.len(), placed.wait_ms, placed.end_ms), (1, None, Some(700)));
}

/// Guards against explanations that take the owner's time, or that an owner without a lease gives.
#[test]
fn explanations_are_limited_to_two_a_second() {
    let mut world = World::new(1, 4_000);
    world.submit(1, job(1, vec![step(2, 4_000, 5_000)]));
    let ask = |world: &mut World, number| world.owner.explain(world.now, ExplainJob::Known(number));
    assert!(matches!(ask(&mut world, 1), ExplainReply::Steps(_)));
    assert_eq!(ask(&mut world, 9), ExplainReply::UnknownJob);
    assert_eq!(ask(&mut world, 1), ExplainReply::Busy);
    world.advance(ms(1_000));
    assert!(matches!(ask(&mut world, 1), ExplainReply::Steps(_)));
    world.owner.set_valid_until(world.now);
    assert_eq!(ask(&mut world, 1), ExplainReply::Unsettled);
}
