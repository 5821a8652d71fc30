//! Checks the idempotency keys of entries in seeded random schedules of entries, agents and the
//! store, on virtual time.

#[path = "keys_world/world.rs"]
mod keys_world;
#[path = "support/schedules.rs"]
mod schedules;

use keys_world::World;

/// Number of schedules, each with its own seed, that a test runs by default.
const SCHEDULES: u64 = 10_000;

/// Guards against a key that runs at two holders. Schedules mix moves, restarts, partitions, lost
/// writes and delayed requests.
#[test]
fn no_key_runs_at_two_holders() {
    let not_run = schedules::run(SCHEDULES, |seed| {
        let mut world = World::new(seed);
        for _ in 0..1_500 {
            world.step();
        }
        world.not_run
    });
    assert!(not_run > 0, "no schedule reported a key as not run");
}

/// Guards against an entry that dispatches to the old holder of a bucket after the bucket has
/// opened for the new one. The entry is cut off from the store but still reaches the old holder.
#[test]
fn an_entry_without_the_store_does_not_reach_past_a_move() {
    schedules::run(SCHEDULES, |seed| {
        World::new(seed).run_isolated_entry();
        0
    });
}

/// Guards against new keys that end as `unknown` for the whole retention because an entry was
/// killed after the move of their bucket, although another entry had fetched its list of keys.
#[test]
fn new_keys_are_dispatched_after_an_agent_and_an_entry_restart() {
    let undispatched = schedules::run(SCHEDULES, |seed| {
        let undispatched = World::new(seed).run_restart(seed % 2 == 1);
        assert_eq!(undispatched, 0, "seed {seed}: new keys are not dispatched");
        undispatched as u64
    });
    assert_eq!(undispatched, 0);
}

/// Guards against new keys that end as `unknown` for the whole retention because an entry was
/// killed as soon as a move was open, before another entry had fetched its list of keys.
#[test]
fn new_keys_are_dispatched_when_an_entry_is_killed_as_a_move_opens() {
    schedules::run(SCHEDULES, |seed| {
        let undispatched = World::new(seed).run_killed_at_open();
        assert_eq!(undispatched, 0, "seed {seed}: new keys are not dispatched");
        0
    });
}

/// Guards against a restarted entry that moves the buckets of live holders which have not yet
/// announced themselves to it. The keys of these buckets then end as `unknown`, since the list of
/// keys of its previous incarnation is lost.
#[test]
fn a_restarted_entry_moves_no_buckets_of_live_holders() {
    schedules::run(SCHEDULES, |seed| {
        let moves = World::new(seed).run_found_late();
        assert_eq!(moves, 0, "seed {seed}: buckets of live holders were moved");
        0
    });
}

/// Guards against new keys that end as `unknown` for the whole retention because an entry restarted
/// before a bucket moved, and the table of its previous incarnation was lost.
#[test]
fn new_keys_are_dispatched_when_an_agent_ends_after_an_entry_restart() {
    schedules::run(SCHEDULES, |seed| {
        let undispatched = World::new(seed).run_ended_later();
        assert_eq!(undispatched, 0, "seed {seed}: new keys are not dispatched");
        0
    });
}

/// Guards against a key that is reported as not run because a duplicate was refused, although the
/// same entry had dispatched the key before and it ran.
#[test]
fn a_refused_duplicate_of_a_key_that_ran_is_not_reported_as_not_run() {
    schedules::run(SCHEDULES, |seed| {
        World::new(seed).run_refused_duplicates();
        0
    });
}

/// Guards against a restarted entry that takes the keys of its previous incarnation for completely
/// recovered, although one of its requests is still in flight or a part of its table is lost.
#[test]
fn no_key_runs_again_after_an_entry_took_over() {
    schedules::run(SCHEDULES, |seed| {
        World::new(seed).run_taken_over();
        0
    });
}

/// Guards against buckets that stay closed after all faults have ended.
#[test]
fn buckets_open_again_after_all_faults() {
    schedules::run(SCHEDULES, |seed| {
        let mut world = World::new(seed);
        for _ in 0..800 {
            world.step();
        }
        world.end_faults();
        assert!(world.is_open(), "seed {seed}: buckets are still closed");
        0
    });
}
