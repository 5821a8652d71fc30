//! Seeded schedules of entries, agents and the store, on virtual time.

#[path = "keys_world/world.rs"]
mod keys_world;
#[path = "support/schedules.rs"]
mod schedules;

use keys_world::World;

const SCHEDULES: u64 = 10_000;

/// Guards against a key that runs at two holders, through any mix of moves, restarts, partitions,
/// lost writes and delayed requests.
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

/// Guards against an entry that is cut off from the store, still reaches the old holder of a
/// bucket, and dispatches to it after the bucket was opened for the new one.
#[test]
fn an_entry_without_the_store_does_not_reach_past_a_move() {
    schedules::run(SCHEDULES, |seed| {
        World::new(seed).run_isolated_entry();
        0
    });
}

/// Guards against new keys that are `unknown` for the whole retention because an entry was killed
/// after the move of their bucket, when another entry has its list of keys.
#[test]
fn new_keys_are_dispatched_after_an_agent_and_an_entry_restart() {
    let closed = schedules::run(SCHEDULES, |seed| {
        let closed = World::new(seed).run_restart(seed % 2 == 1);
        assert_eq!(closed, 0, "seed {seed}: new keys are not dispatched");
        closed as u64
    });
    assert_eq!(closed, 0);
}

/// Guards against new keys that are `unknown` for the whole retention because an entry was killed
/// as soon as a move was open, before another entry had its list of keys.
#[test]
fn new_keys_are_dispatched_when_an_entry_is_killed_as_a_move_opens() {
    schedules::run(SCHEDULES, |seed| {
        let closed = World::new(seed).run_killed_at_open();
        assert_eq!(closed, 0, "seed {seed}: new keys are not dispatched");
        0
    });
}

/// Guards against a restarted entry that moves the buckets of live holders which have not found it
/// yet: the keys of these buckets are then `unknown`, since its predecessor's list is lost.
#[test]
fn a_restarted_entry_moves_no_buckets_of_live_holders() {
    schedules::run(SCHEDULES, |seed| {
        let moves = World::new(seed).run_found_late();
        assert_eq!(moves, 0, "seed {seed}: buckets of live holders were moved");
        0
    });
}

/// Guards against new keys that are `unknown` for the whole retention because an entry had been
/// restarted before a bucket moved, and its predecessor's table was lost.
#[test]
fn new_keys_are_dispatched_when_an_agent_ends_after_an_entry_restart() {
    schedules::run(SCHEDULES, |seed| {
        let closed = World::new(seed).run_ended_later();
        assert_eq!(closed, 0, "seed {seed}: new keys are not dispatched");
        0
    });
}

/// Guards against a key that is reported as not run because a duplicate was refused, though the
/// same entry had dispatched it before and it ran.
#[test]
fn a_refused_duplicate_of_a_key_that_ran_is_not_reported_as_not_run() {
    schedules::run(SCHEDULES, |seed| {
        World::new(seed).run_refused_duplicates();
        0
    });
}

/// Guards against a restarted entry that claims to know all that its predecessor dispatched, though
/// a request of it is still on its way, or a part of its table is lost.
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
        world.heal();
        assert!(world.is_open(), "seed {seed}: buckets are still closed");
        0
    });
}
