//! Tests that the owner and the agents do not believe in runs that no worker has, and do not give up
//! runs that a worker still has.

use peridotfold_core::flow::message::{AgentMessage, OwnerMessage, Pressure};
use peridotfold_core::flow::owner::Effect;

use crate::support::{job, ms, step, World, PERMISSION};

/// Guards against a run that counts as running for ever, after the machine of its worker has
/// restarted without the worker: the new agent pings the owner but has nothing to report.
#[test]
fn a_run_is_given_up_if_its_agent_returns_without_the_worker() {
    let mut world = World::new(2, 1_000);
    world.submit(7, job(1, vec![step(1, 500, 60_000)]));
    let (index, task) = world.running()[0];
    world.workers[index].running.clear();
    world.connect(index);
    world.advance(PERMISSION + ms(1_000));
    let running = world.running();
    assert_eq!(running, [(1 - index, task)], "the task has no run on the other worker");
}

/// Guards against a run that outlives the takeover in which its worker was given up: a pong extends
/// the permission of a worker whose runs the owner does not know yet.
#[test]
fn an_agent_gets_no_permission_before_it_has_reported() {
    let mut world = World::new(1, 1_000);
    world.submit(7, job(1, vec![step(1, 500, 60_000)]));
    world.take_over(&[(7, job(1, vec![step(1, 500, 60_000)]))]);
    world.owner.take_effects();
    let (slot, session) = (world.workers[0].slot, world.workers[0].session);
    let ping = AgentMessage::Ping {
        sent: world.now,
        pressure: Pressure::default(),
        samples: Vec::new(),
        baselines: Vec::new(),
    };
    let grants = |world: &mut World| -> Vec<_> {
        let effects = world.owner.take_effects().into_iter();
        let permission = |effect| match effect {
            Effect::Send { message: OwnerMessage::Pong { permission, .. }, .. } => Some(permission),
            _ => None,
        };
        effects.filter_map(permission).collect()
    };
    world.owner.receive(world.now, slot, session, ping);
    let before = grants(&mut world);
    // Zero would make the agent look for another owner.
    assert!(
        before.iter().all(|granted| !granted.is_zero() && *granted <= ms(1)),
        "granted {before:?} before the report"
    );
    world.attach(0);
    assert_eq!(grants(&mut world), [PERMISSION], "granted with the report");
}
