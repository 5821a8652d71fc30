//! Tests of a cell's owner, one situation each.

mod fixture;

use std::time::Duration;

use peridotfold_core::cell::state::{Phase, MAX_ENDED_JOBS};
use peridotfold_core::cell::{
    Cell, CellSettings, CellState, Effect, Event, JobSpec, Limits, SubmitReply,
};
use peridotfold_core::message::announce::AgentState;
use peridotfold_core::message::report::{AttemptId, Outcome, Report};
use peridotfold_core::resources::Resources;
use peridotfold_core::time::lease_wait;

use fixture::{limits, ms, spec, Fixture, LEASE, OUTAGE_HOLD};

/// Guards against a burst of cancellations that fills the commit batches and so delays the start of
/// an urgent task.
#[test]
fn ten_thousand_cancellations_do_not_delay_a_start() {
    let mut fixture = Fixture::new(4, 16_000, 1 << 40);
    for number in 0..10_000 {
        fixture.submit(spec(&format!("job-{number}"), "normal", 1, 16_000));
    }
    while fixture.cell.has_uncommitted() {
        fixture.commit();
    }
    for number in 0..10_000 {
        fixture.cell.cancel(None, &format!("job-{number}"), 2);
    }
    let added = Resources::new(1_000, 100, 0);
    fixture.capacity = fixture.capacity.plus(&added);
    fixture.submit(JobSpec { need: added, ..spec("late", "urgent", 1, 1) });
    fixture.commit();
    // One batch commits the submission, the next one the start; a third round delivers the order.
    let before = fixture.cell.has_uncommitted();
    fixture.round(ms(500));
    fixture.round(ms(500));
    let attempts = &fixture.cell.state().jobs["late"].attempts;
    assert!(before, "the burst was already over");
    assert_eq!(attempts.len(), 1, "the start waited for the cancellations");
    assert!(fixture
        .agents
        .iter()
        .any(|(_, running, _)| { running.iter().any(|start| start.attempt.job == "late") }));
}

/// Guards against a new owner that starts a task again while a paused earlier owner may still renew
/// the lease of its attempt.
#[test]
fn unconfirmed_attempts_wait_for_the_outage_hold_unless_released() {
    for (clean, wait) in
        [(true, lease_wait(LEASE)), (false, lease_wait(LEASE) + OUTAGE_HOLD * 102 / 100)]
    {
        let mut fixture = Fixture::new(1, 4_000, 1 << 40);
        fixture.submit(spec("job", "normal", 1, 1_000));
        fixture.round(ms(500));
        fixture.round(ms(500));
        assert_eq!(fixture.agents[0].1.len(), 1);
        if clean {
            fixture.cell.release();
            fixture.commit();
        }
        fixture.take_over();
        let start = fixture.now;
        while !fixture.cell.state().jobs["job"].attempts.is_empty() {
            fixture.now += ms(250);
            fixture.cell.record_store_contact(fixture.now);
            fixture.cell.poll(fixture.now);
        }
        let waited = fixture.now - start;
        assert!(waited >= wait && waited < wait + ms(1_000), "clean={clean}: {waited:?}");
    }
}

/// Guards against requeueing an attempt that a delayed order of an earlier owner may still start.
/// Until the agent has accepted the new epoch, its absence from a report proves nothing.
#[test]
fn absence_counts_only_after_the_agent_accepted_the_epoch() {
    let mut fixture = Fixture::new(1, 4_000, 1 << 40);
    fixture.submit(spec("job", "normal", 1, 1_000));
    fixture.round(ms(500));
    fixture.round(ms(500));
    fixture.take_over();
    fixture.agents[0].1.clear();
    fixture.report(0, 1);
    assert_eq!(fixture.running("job"), 1);
    fixture.report(0, 2);
    assert_eq!(fixture.running("job"), 0);
}

/// Guards against mistaking a delayed report of a dead agent process for a restart. Reports of the
/// live process would then be ignored, and its attempts would be requeued.
#[test]
fn a_delayed_report_of_an_unknown_incarnation_changes_nothing() {
    let mut fixture = Fixture::new(1, 4_000, 1 << 40);
    fixture.submit(spec("job", "normal", 1, 1_000));
    fixture.round(ms(500));
    fixture.round(ms(500));
    fixture.round(ms(500));
    let late = |sequence: u64, echo: u64| Report {
        agent: "vm-0".to_owned(),
        incarnation: 99,
        echo,
        cell: "cell".to_owned(),
        rack: "rack-0".to_owned(),
        sequence,
        state: AgentState::Ready,
        epoch: 1,
        batch_capacity: fixture.capacity,
        free: fixture.capacity,
        urgent_free: fixture.capacity,
        running: Vec::new(),
        results: Vec::new(),
        pressure_percent: 0,
    };
    let (first, second) = (late(1, 0), late(2, 0));
    for report in [&first, &second] {
        fixture.cell.report(fixture.now, report);
    }
    let challenged =
        fixture.cell.answer(fixture.now, "vm-0", 99, 2).expect("the owner has stopped");
    assert_eq!((challenged.lease, challenged.starts.len()), (Duration::ZERO, 0));
    assert_ne!(challenged.challenge, 0);
    assert_eq!(fixture.running("job"), 1, "the attempt was requeued");
    assert_eq!(fixture.report(0, 1).lease, LEASE, "the report of the live agent was ignored");

    // A live agent process echoes the challenge, and its reports are accepted from then on.
    let returned = Report { sequence: 3, echo: challenged.challenge, ..second };
    fixture.cell.report(fixture.now, &returned);
    assert_eq!(fixture.running("job"), 0);
    assert_eq!(
        fixture.cell.answer(fixture.now, "vm-0", 99, 3).expect("the owner has stopped").lease,
        LEASE
    );
}

/// Guards against two attempts of a task: a replaced owner sends a start order that it committed
/// earlier to a replaced VM, after the new owner has learnt from that VM that nothing runs there.
#[test]
fn a_start_is_ordered_only_from_the_incarnation_it_was_placed_on() {
    let mut fixture = Fixture::new(1, 4_000, 1 << 40);
    fixture.submit(spec("job", "normal", 1, 1_000));
    fixture.now += ms(500);
    fixture.cell.poll(fixture.now);
    fixture.commit();
    let mut report = Report {
        agent: "vm-0".to_owned(),
        incarnation: 99,
        echo: 0,
        cell: "cell".to_owned(),
        rack: "rack-0".to_owned(),
        sequence: 1,
        state: AgentState::Ready,
        epoch: 0,
        batch_capacity: fixture.capacity,
        free: fixture.capacity,
        urgent_free: fixture.capacity,
        running: Vec::new(),
        results: Vec::new(),
        pressure_percent: 0,
    };
    for sequence in 1..4 {
        report.sequence = sequence;
        fixture.cell.report(fixture.now, &report);
        let orders =
            fixture.cell.answer(fixture.now, "vm-0", 99, sequence).expect("the owner has stopped");
        assert!(orders.starts.is_empty(), "start ordered from another incarnation");
        report.echo = report.echo.max(orders.challenge);
    }
    assert_eq!(fixture.running("job"), 1, "requeued before the agent accepted the epoch");
    report = Report { sequence: 4, epoch: 1, ..report };
    fixture.cell.report(fixture.now, &report);
    assert_eq!(fixture.running("job"), 0, "the attempt was never requeued");
}

/// Guards against an owner that still grants leases when a new owner may have taken over.
#[test]
fn grants_stop_after_the_outage_hold() {
    let mut fixture = Fixture::new(1, 4_000, 1 << 40);
    fixture.now += OUTAGE_HOLD - ms(1);
    assert_eq!(fixture.report(0, 1).lease, LEASE);
    fixture.now += ms(1);
    assert_eq!(fixture.report(0, 1).lease, Duration::ZERO);
}

/// Guards against orders, acknowledgements and results that become visible before their event is
/// committed.
#[test]
fn nothing_leaves_before_its_commit() {
    let mut fixture = Fixture::new(1, 4_000, 1 << 40);
    fixture.submit(spec("job", "normal", 1, 1_000));
    assert!(fixture.cell.take_effects().is_empty(), "accepted before the commit");
    fixture.now += ms(500);
    fixture.cell.poll(fixture.now);
    assert!(fixture.report(0, 1).starts.is_empty(), "started before the commit");
    fixture.commit();
    fixture.round(ms(500));
    fixture.end_all(0, &Outcome::Completed);
    fixture.now += ms(500);
    assert!(fixture.report(0, 1).acknowledged.is_empty(), "acknowledged before the commit");
    assert_eq!(fixture.cell.list("cell", None)[0].state, "running", "shown before the commit");
    fixture.commit();
    assert_eq!(fixture.report(0, 1).acknowledged.len(), 1);
    assert_eq!(fixture.cell.list("cell", None)[0].state, "completed");
}

/// Guards against a job that can never run and waits for ever or blocks other jobs.
#[test]
fn work_that_can_never_run_is_unrunnable_at_once() {
    let mut fixture = Fixture::new(2, 4_000, 8_000);
    for (id, cpu) in [("quota", 9_000), ("worker", 5_000), ("fine", 1_000)] {
        fixture.submit(spec(id, "normal", 2, cpu));
    }
    fixture.round(ms(100));
    let reason = |id: &str| fixture.cell.state().jobs[id].reason.clone().unwrap_or_default();
    assert_eq!(fixture.phase("quota"), Some(Phase::Unrunnable));
    assert!(reason("quota").contains("quota"));
    assert_eq!(fixture.phase("worker"), Some(Phase::Unrunnable));
    assert!(reason("worker").contains("worker"));
    assert_eq!(fixture.running("fine"), 2);
}

/// Guards against a team that uses more of the cell than its quota.
#[test]
fn a_team_stays_within_its_quota() {
    let mut fixture = Fixture::new(4, 4_000, 3_000);
    fixture.submit(spec("job", "normal", 50, 1_000));
    for _ in 0..5 {
        fixture.round(ms(200));
    }
    assert_eq!(fixture.running("job"), 3);
}

/// Guards against a faulty worker on which every queued task fails, and against counting its
/// failures against the jobs.
#[test]
fn a_worker_that_fails_everything_is_quarantined() {
    // The share for urgent work leaves room for exactly three tasks.
    let mut fixture = Fixture::new(1, 4_000, 1 << 40);
    for id in ["a", "b", "c"] {
        fixture.submit(spec(id, "normal", 1, 1_000));
    }
    fixture.round(ms(100));
    fixture.round(ms(100));
    assert_eq!(fixture.agents[0].1.len(), 3);
    fixture.end_all(0, &Outcome::Failed { reason: "exit 1".to_owned() });
    fixture.round(ms(100));
    assert!(fixture.cell.state().jobs.values().all(|job| job.failed_on.is_empty()));
    let until = fixture.now + ms(59_000);
    while fixture.now < until {
        assert_eq!(fixture.round(ms(1_000)), 0, "a start during the quarantine");
    }
    let later: usize = (0..4).map(|_| fixture.round(ms(1_000))).sum();
    assert_eq!(later, 3, "no start after the quarantine");
}

/// Guards against endless retries of a job that fails on every worker.
#[test]
fn a_job_that_fails_on_three_workers_fails() {
    let mut fixture = Fixture::new(5, 4_000, 1 << 40);
    fixture.submit(spec("bad", "normal", 1, 1_000));
    for _ in 0..30 {
        fixture.round(ms(100));
        for agent in 0..5 {
            fixture.end_all(agent, &Outcome::Failed { reason: "exit 1".to_owned() });
        }
    }
    assert_eq!(fixture.phase("bad"), Some(Phase::Failed));
    assert_eq!(fixture.cell.state().jobs["bad"].started, 3);
}

/// Guards against a burst of restarts after a mass eviction, and against new urgent work that waits
/// behind them.
#[test]
fn recovery_is_limited_and_urgent_work_goes_first() {
    // 14 tasks fit on a worker beside the share for urgent work. No unstarted task may be left,
    // because the start rate is limited for requeued tasks only.
    let mut fixture = Fixture::new(48, 16_000, 1 << 40);
    fixture.submit(spec("job", "normal", 600, 1_000));
    for _ in 0..10 {
        fixture.round(ms(200));
    }
    assert_eq!(fixture.agents.iter().map(|(_, running, _)| running.len()).sum::<usize>(), 600);
    for agent in 0..48 {
        fixture.end_all(agent, &Outcome::Evicted { checkpoint: None });
    }
    fixture.round(ms(0));
    fixture.submit(spec("now", "urgent", 10, 1_000));
    let before = fixture.cell.state().jobs["job"].started;
    for round in 0..50 {
        fixture.round(ms(20));
        if round == 0 {
            assert_eq!(fixture.running("now"), 10);
        }
    }
    let starts = fixture.cell.state().jobs["job"].started - before;
    assert!(starts > 100 && starts <= 200, "{starts} starts in a second");
}

/// Guards against losing all tasks of an urgent job with a single rack.
#[test]
fn urgent_tasks_are_spread_over_racks() {
    let mut fixture = Fixture::new(12, 16_000, 1 << 40);
    fixture.submit(spec("job", "urgent", 8, 1_000));
    fixture.round(ms(100));
    let mut racks = [0; 4];
    for attempt in fixture.cell.state().jobs["job"].attempts.values() {
        let agent: usize =
            attempt.agent.trim_start_matches("vm-").parse().expect("agent id without a number");
        racks[agent / 3] += 1;
    }
    assert_eq!(racks, [2; 4]);
}

/// Guards against a repeated submission that creates a second job, and against a different job that
/// is accepted under an id in use.
#[test]
fn submits_are_idempotent() {
    let mut fixture = Fixture::new(1, 4_000, 1 << 40);
    fixture.submit(spec("job", "normal", 1, 1_000));
    assert_eq!(fixture.cell.submit(spec("job", "normal", 1, 1_000), 2), SubmitReply::Existing);
    assert_eq!(fixture.cell.submit(spec("job", "normal", 2, 1_000), 3), SubmitReply::Conflict);
    let effects = fixture.commit();
    assert_eq!(effects, [Effect::Durable(1), Effect::Durable(2)]);
}

/// Guards against a state that grows with the number of unstarted tasks.
#[test]
fn a_job_with_many_tasks_stays_compact() {
    let mut fixture = Fixture::new(1, 1_000, 1 << 40);
    fixture.submit(spec("job", "normal", 1_000_000, 1_000));
    fixture.round(ms(100));
    let job = &fixture.cell.state().jobs["job"];
    assert_eq!((job.waiting(), job.requeued.len(), job.attempts.len()), (999_999, 0, 1));
}

/// Guards against a state that grows with the number of ended jobs.
#[test]
fn the_oldest_ended_jobs_are_forgotten() {
    let mut state = CellState::default();
    for number in 0..MAX_ENDED_JOBS + 5 {
        let job = format!("job-{number}");
        state.apply(&Event::Submitted { spec: spec(&job, "normal", 1, 1), urgent: false });
        state.apply(&Event::CancelRequested { job });
    }
    assert_eq!(state.jobs.len(), MAX_ENDED_JOBS);
    assert!(!state.jobs.contains_key("job-4") && state.jobs.contains_key("job-5"));
}

/// Guards against a late result of an old attempt that changes a task with a newer attempt.
#[test]
fn an_event_with_an_old_token_changes_nothing() {
    let mut fixture = Fixture::new(1, 4_000, 1 << 40);
    fixture.submit(spec("job", "normal", 1, 1_000));
    fixture.round(ms(100));
    fixture.round(ms(100));
    let old: AttemptId = fixture.agents[0].1[0].attempt.clone();
    fixture.end_all(0, &Outcome::Evicted { checkpoint: None });
    fixture.round(ms(100));
    fixture.round(ms(100));
    let mut state = fixture.replay();
    let before = state.clone();
    state.apply(&Event::Completed { attempt: old.clone() });
    state.apply(&Event::Evicted { attempt: old, checkpoint: None });
    assert_eq!(state, before);
}

/// Guards against a new owner that rejects jobs before it knows the configuration.
#[test]
fn nothing_is_decided_before_the_limits_are_known() {
    let mut fixture = Fixture::new(1, 4_000, 1 << 40);
    fixture.submit(spec("job", "normal", 1, 1_000));
    fixture.commit();
    let state = fixture.replay();
    let rng = fastrand::Rng::with_seed(2);
    fixture.cell = Cell::take_over(state, 2, CellSettings::default(), fixture.now, rng);
    assert_eq!(fixture.cell.submit(spec("other", "normal", 1, 1), 1), SubmitReply::Full);
    for _ in 0..10 {
        fixture.round(ms(1_000));
    }
    assert_eq!(fixture.phase("job"), Some(Phase::Active));
    fixture.cell.set_limits(Limits { teams: [].into(), ..limits(1 << 40) });
    fixture.round(ms(1_000));
    assert_eq!(fixture.phase("job"), Some(Phase::Active), "the team is not known yet");
    fixture.cell.set_limits(limits(1 << 40));
    fixture.round(ms(1_000));
    assert_eq!(fixture.running("job"), 1);
}

/// Guards against starts that the agent's ledger has to refuse because a class is at its limit, and
/// against a full class that blocks other classes on the worker.
#[test]
fn a_class_is_filled_up_to_its_limit_only() {
    let mut fixture = Fixture::new(1, 60_000, 1 << 40);
    fixture.submit(spec("many", "normal", 40, 1_000));
    fixture.submit(spec("now", "urgent", 3, 1_000));
    fixture.round(ms(500));
    assert_eq!(fixture.running("many"), 16);
    assert_eq!(fixture.running("now"), 3);
    // The ledger admits nothing while a class exceeds its limit.
    fixture.measured = Resources::new(1_001, 100, 0);
    fixture.round(ms(500));
    fixture.submit(spec("later", "urgent", 1, 1_000));
    fixture.round(ms(500));
    fixture.round(ms(500));
    assert_eq!(fixture.running("later"), 0);
}

/// Guards against urgent work that has to wait until other work ends.
#[test]
fn other_work_leaves_room_for_urgent_work() {
    let mut fixture = Fixture::new(1, 8_000, 1 << 40);
    fixture.submit(spec("many", "normal", 10, 1_000));
    fixture.round(ms(500));
    assert_eq!(fixture.running("many"), 7);
    fixture.submit(spec("now", "urgent", 1, 1_000));
    fixture.round(ms(500));
    assert_eq!(fixture.running("now"), 1);
}

/// Guards against a task that waits for ever because it needs the whole worker, including the share
/// kept free for urgent work.
#[test]
fn an_idle_worker_takes_a_task_that_needs_all_of_it() {
    let mut fixture = Fixture::new(1, 8_000, 1 << 40);
    fixture.submit(spec("large", "normal", 1, 8_000));
    fixture.round(ms(500));
    assert_eq!(fixture.running("large"), 1);
}

/// Guards against evicted tasks that are placed by their declared need and exceed the class limit
/// again.
#[test]
fn tasks_are_placed_by_the_usage_of_earlier_tasks_of_their_job() {
    let mut fixture = Fixture::new(1, 60_000, 1 << 40);
    fixture.submit(spec("many", "normal", 16, 1_000));
    fixture.round(ms(500));
    fixture.measured = Resources::new(2_000, 100, 0);
    fixture.round(ms(500));
    fixture.round(ms(500));
    assert_eq!(fixture.agents[0].1.len(), 16);
    fixture.end_all(0, &Outcome::Evicted { checkpoint: None });
    fixture.round(ms(500));
    fixture.round(ms(500));
    fixture.round(ms(500));
    assert_eq!(fixture.agents[0].1.len(), 8);
}

/// Guards against a removed class whose running tasks block all other classes on their worker.
#[test]
fn a_removed_class_does_not_bar_others() {
    let mut fixture = Fixture::new(1, 8_000, 1 << 40);
    fixture.submit(spec("old", "normal", 2, 1_000));
    fixture.round(ms(500));
    let mut limits = limits(1 << 40);
    limits.classes.remove("normal");
    fixture.cell.set_limits(limits);
    fixture.submit(spec("now", "urgent", 1, 1_000));
    fixture.round(ms(500));
    assert_eq!(fixture.running("now"), 1);
}
