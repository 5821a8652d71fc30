//! Tests of batch tasks from the owner's order to the result, over real network connections.

use std::time::Duration;

use crate::support::{attempt, run, start_order, wait_until, Agent, Owner};
use peridotfold_core::message::report::{Outcome, StopOrder};
use peridotfold_core::resources::Resources;
use peridotfold_standins::worker::simulation::Switches;
use peridotfold_standins::worker::{Options, Worker};

/// Guards against start orders that are lost before they reach the worker, and results that are
/// lost on the way to the owner.
#[test]
fn ordered_task_runs_and_its_result_is_removed_after_the_acknowledgement() {
    run(async {
        let worker = Worker::start(Options::default()).await.unwrap();
        let owner = Owner::start().await;
        let agent = Agent::start(worker.address(), owner.address, 1);
        let id = attempt("job/1 ä", 1, 1);
        owner.state.lock().starts.push(start_order(id.clone(), "work_ms=300"));
        wait_until("completed", || owner.outcome(&id) == Some(Outcome::Completed)).await;
        let client = peridotfold_agent::batch::worker_client::WorkerClient::new(worker.address());
        loop {
            if client.list().await.unwrap().tasks.is_empty() {
                break;
            }
            peridotfold_wire::runtime::sleep(Duration::from_millis(20)).await;
        }
        let history = worker.history();
        assert_eq!((history.len(), history[0].end.as_str()), (1, "completed"));
        agent.kill().await;
    });
}

/// Guards against results that the agent drops before the owner has committed and acknowledged
/// them.
#[test]
fn result_is_repeated_until_it_is_acknowledged() {
    run(async {
        let worker = Worker::start(Options::default()).await.unwrap();
        let owner = Owner::start().await;
        owner.state.lock().acknowledges = false;
        let agent = Agent::start(worker.address(), owner.address, 1);
        let id = attempt("j", 1, 1);
        owner.state.lock().starts.push(start_order(id.clone(), "work_ms=10 fail=1"));
        let repeats = || {
            let state = owner.state.lock();
            let has = |results: &[peridotfold_core::message::report::TaskResult]| {
                results.iter().any(|result| result.attempt == id)
            };
            state.reports.iter().filter(|report| has(&report.results)).count()
        };
        wait_until("repeated", || repeats() >= 3).await;
        assert!(matches!(owner.outcome(&id), Some(Outcome::Failed { .. })));
        owner.state.lock().acknowledges = true;
        wait_until("dropped", || owner.state.lock().reports.last().unwrap().results.is_empty())
            .await;
        agent.kill().await;
    });
}

/// Guards against a restarted agent that loses running tasks, or starts new ones on the resources
/// that they use.
#[test]
fn restarted_agent_adopts_running_tasks_before_it_reports() {
    run(async {
        let worker = Worker::start(Options::default()).await.unwrap();
        let owner = Owner::start().await;
        let agent = Agent::start(worker.address(), owner.address, 1);
        let id = attempt("j", 1, 1);
        let mut order = start_order(id.clone(), "work_ms=3000");
        order.need = Resources::new(5_000, 1_000, 0);
        owner.state.lock().starts.push(order);
        wait_until("running", || worker.history().len() == 1).await;
        agent.kill().await;
        owner.state.lock().reports.clear();

        let agent = Agent::start(worker.address(), owner.address, 2);
        wait_until("reported", || !owner.state.lock().reports.is_empty()).await;
        let first = owner.state.lock().reports[0].clone();
        assert_eq!((first.incarnation, first.epoch), (2, 1));
        assert_eq!(first.running.len(), 1);
        let second = attempt("k", 1, 2);
        let mut order = start_order(second.clone(), "work_ms=10");
        order.need = Resources::new(2_000, 1_000, 0);
        owner.state.lock().starts.push(order);
        wait_until("refused", || matches!(owner.outcome(&second), Some(Outcome::Refused { .. })))
            .await;
        wait_until("completed", || owner.outcome(&id) == Some(Outcome::Completed)).await;
        assert_eq!(worker.history().len(), 1);
        agent.kill().await;
    });
}

/// Guards against tasks that continue after their lease expired, when the owner may have started
/// them elsewhere.
#[test]
fn worker_ends_a_task_whose_lease_is_not_renewed() {
    run(async {
        let worker = Worker::start(Options::default()).await.unwrap();
        let owner = Owner::start().await;
        owner.state.lock().lease = Duration::from_secs(2);
        let agent = Agent::start(worker.address(), owner.address, 1);
        let id = attempt("j", 1, 1);
        owner.state.lock().starts.push(start_order(id.clone(), "work_ms=60000"));
        wait_until("running", || owner.is_running(&id) && worker.history().len() == 1).await;
        owner.state.lock().lease = Duration::ZERO;
        wait_until("ended", || matches!(owner.outcome(&id), Some(Outcome::Evicted { .. }))).await;
        let history = worker.history();
        let ran = history[0].end_us.unwrap() - history[0].start_us;
        // One renewal may have been granted just before the owner stopped renewing.
        assert!(ran < 5_000_000, "ran for {ran} us");
        agent.kill().await;
    });
}

/// Guards against a stop that loses progress, and a resumption that repeats or skips work.
#[test]
fn stopped_task_resumes_from_its_checkpoint() {
    run(async {
        let worker = Worker::start(Options::default()).await.unwrap();
        let owner = Owner::start().await;
        let agent = Agent::start(worker.address(), owner.address, 1);
        let id = attempt("j", 1, 1);
        owner.state.lock().starts.push(start_order(id.clone(), "work_ms=2000"));
        wait_until("progress", || worker.history().first().is_some_and(|i| i.progress_end > 200.0))
            .await;
        let stop = StopOrder { attempt: id.clone(), checkpoint: true };
        owner.state.lock().stops.push(stop);
        wait_until("stopped", || owner.outcome(&id).is_some()).await;
        let Some(Outcome::Stopped { checkpoint: Some(checkpoint) }) = owner.outcome(&id) else {
            panic!("no checkpoint: {:?}", owner.outcome(&id));
        };
        let next = attempt("j", 1, 2);
        let mut order = start_order(next.clone(), "work_ms=2000");
        order.checkpoint = Some(checkpoint);
        owner.state.lock().starts.push(order);
        wait_until("completed", || owner.outcome(&next) == Some(Outcome::Completed)).await;
        let history = worker.history();
        assert_eq!(history.len(), 2);
        assert_eq!(history[0].progress_end, history[1].progress_start);
        assert!(history[0].end_us.unwrap() <= history[1].start_us);
        agent.kill().await;
    });
}

/// Guards against a drain that leaves tasks running until their leases expire.
#[test]
fn drain_hands_all_tasks_back_and_ends() {
    run(async {
        let worker = Worker::start(Options::default()).await.unwrap();
        let owner = Owner::start().await;
        let agent = Agent::start(worker.address(), owner.address, 1);
        let ids = [attempt("j", 1, 1), attempt("k", 1, 2)];
        for id in &ids {
            owner.state.lock().starts.push(start_order(id.clone(), "work_ms=60000"));
        }
        wait_until("running", || worker.history().len() == 2).await;
        agent.trigger.fire();
        agent.running.await;
        for id in &ids {
            let outcome = owner.outcome(id);
            assert!(
                matches!(outcome, Some(Outcome::Evicted { checkpoint: Some(_) })),
                "{outcome:?}"
            );
        }
        assert!(worker.history().iter().all(|interval| interval.end == "stopped"));
    });
}

/// Guards against an agent that does not report tasks that its worker fails, or accepts tasks while
/// the worker does not respond.
#[test]
fn faulty_worker_is_reported() {
    run(async {
        let worker = Worker::start(Options::default()).await.unwrap();
        worker.set_switches(Switches { fail_all: true, ..Switches::default() });
        let owner = Owner::start().await;
        let agent = Agent::start(worker.address(), owner.address, 1);
        let id = attempt("j", 1, 1);
        owner.state.lock().starts.push(start_order(id.clone(), "work_ms=5000"));
        wait_until("failed", || matches!(owner.outcome(&id), Some(Outcome::Failed { .. }))).await;
        worker.set_switches(Switches { delay_ms: 1_500, ..Switches::default() });
        // Starts are accepted while the last listing of the worker's tasks is recent enough.
        let mut number = 1;
        wait_until("refused", || {
            let mut state = owner.state.lock();
            if state.starts.is_empty() {
                number += 1;
                let mut order = start_order(attempt(&format!("k{number}"), 1, number), "work_ms=1");
                order.need = Resources::new(1, 1, 0);
                state.starts.push(order);
            }
            state.outcomes.values().any(|outcome| match outcome {
                Outcome::Refused { reason } => reason == "the worker does not respond",
                _ => false,
            })
        })
        .await;
        agent.kill().await;
    });
}
