//! Tests of cancellations that are stored before their jobs.

use peridotfold_core::flow::progress::Phase;

use crate::support::{job, ms, settings, step, World};

/// Guards against a job that runs although its cancellation was stored before it, for example by an
/// older entry whose submissions do not depend on cancellations. Seen as UNASKED in review case 2.
#[test]
fn a_job_that_is_stored_after_its_cancel_never_starts() {
    for is_after_takeover in [false, true] {
        let mut world = World::new(2, 10_000);
        world.owner.cancel(world.now, 7);
        if is_after_takeover {
            // The successor reads the cancellation with the inbox.
            world.take_over(&[]);
            world.attach(0);
            world.attach(1);
            world.owner.cancel(world.now, 7);
        }
        world.submit(7, job(2, vec![step(1, 1_000, 500)]));
        world.advance(ms(500));
        assert!(world.started.is_empty(), "{:?}", world.started);
        assert_eq!(world.owner.phase(7), Some(Phase::Cancelled));
        let record = world.commits.iter().flat_map(|commit| &commit.records).find(|r| r.job == 7);
        assert!(record.expect("a record of the job").drops_cancel, "the cancellation would stay");
        assert_eq!(world.owner.early_cancels(), 0);
    }
}

/// Guards against cancellations of unknown jobs that stay in the store for good, or that are removed
/// while a submission could still be carried out.
#[test]
fn a_cancel_of_an_unknown_job_is_removed_after_its_retention_time() {
    let mut world = World::new(1, 10_000);
    let keep = settings(1).keep_ended;
    let removed = |world: &World| -> usize {
        world.commits.iter().map(|commit| commit.expired_cancels.len()).sum()
    };
    // More than fit into one write.
    (100..200).for_each(|number| world.owner.cancel(world.now, number));
    world.now += keep - ms(500);
    world.advance(ms(400));
    assert_eq!((world.owner.early_cancels(), removed(&world)), (100, 0));
    world.advance(ms(3_000));
    assert_eq!(world.owner.early_cancels(), 0);
    // A rest that does not fill a write waits for the next one.
    world.submit(1, job(1, vec![step(1, 1_000, 500)]));
    world.owner.cancel(world.now, 1);
    world.advance(ms(500));
    assert_eq!(removed(&world), 100);
}
