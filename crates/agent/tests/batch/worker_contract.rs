//! Contract tests of the platform's worker API, run on the stand-in worker through the agent's
//! client.

use std::time::Duration;

use crate::support::{attempt, run};
use peridotfold_agent::batch::worker_client::WorkerClient;
use peridotfold_core::message::report::AttemptId;
use peridotfold_core::resources::Resources;
use peridotfold_core::tasks::worker::{
    Claim, ClaimReply, ClaimRequest, StartTask, TaskLease, WorkerList, WorkerOutcome,
};
use peridotfold_core::tasks::{Action, ActionResult};
use peridotfold_standins::worker::{Options, Worker};
use peridotfold_wire::runtime;

/// A stand-in worker and a client of its API.
struct WorkerApi {
    worker: Worker,
    client: WorkerClient,
}

impl WorkerApi {
    async fn start(options: Options) -> WorkerApi {
        let worker = Worker::start(options).await.unwrap();
        let client = WorkerClient::new(worker.address());
        WorkerApi { worker, client }
    }

    async fn claim(&self, keep: Option<Claim>, epoch: u64) -> Option<ClaimReply> {
        self.client.claim(&ClaimRequest { keep, epoch }).await.unwrap()
    }

    async fn list(&self) -> WorkerList {
        self.client.list().await.unwrap()
    }

    async fn perform(&self, action: Action) -> ActionResult {
        self.client.perform(&action).await.0
    }

    /// Makes a new claim and starts a task under it.
    async fn start_task(&self, id: AttemptId, lease_ms: u64, command: &str) -> ActionResult {
        let claim = self.claim(None, 0).await.unwrap().claim;
        self.start_claimed(claim, id, lease_ms, command).await
    }

    /// Starts a task under an existing claim.
    async fn start_claimed(
        &self,
        claim: Claim,
        id: AttemptId,
        lease_ms: u64,
        command: &str,
    ) -> ActionResult {
        let list = self.list().await;
        self.perform(Action::Start(StartTask {
            claim,
            valid_until_ms: list.now_ms + lease_ms,
            attempt: id,
            team: "t".into(),
            class: "c".into(),
            need: Resources::new(1_000, 500, 0),
            urgent: false,
            command: command.into(),
            checkpoint: None,
            speed_percent: 100,
        }))
        .await
    }

    /// Waits until the task has ended, and returns its outcome.
    async fn ended(&self, id: &AttemptId) -> WorkerOutcome {
        for _ in 0..1_000 {
            let list = self.list().await;
            let task = list.tasks.into_iter().find(|task| task.attempt == *id).unwrap();
            if let Some(outcome) = task.outcome {
                return outcome;
            }
            runtime::sleep(Duration::from_millis(10)).await;
        }
        panic!("{id:?} does not end");
    }
}

/// Guards against a delayed start of an attempt after a newer attempt started or after its own
/// stop.
#[test]
fn old_and_stopped_tokens_do_not_start() {
    run(async {
        let api = WorkerApi::start(Options::default()).await;
        assert_eq!(
            api.start_task(attempt("j", 2, 5), 10_000, "work_ms=20").await,
            ActionResult::Done
        );
        let older = api.start_task(attempt("j", 2, 4), 10_000, "work_ms=20").await;
        assert!(matches!(older, ActionResult::Refused(_)));
        let epoch = api.start_task(attempt("j", 1, 9), 10_000, "work_ms=20").await;
        assert!(matches!(epoch, ActionResult::Refused(_)));
        let stopped = attempt("k", 1, 1);
        assert_eq!(api.perform(Action::Stop(stopped.clone())).await, ActionResult::Done);
        let late = api.start_task(stopped, 10_000, "work_ms=20").await;
        assert!(matches!(late, ActionResult::Refused(_)));
        assert_eq!(api.worker.history().len(), 1);
    });
}

/// Guards against a task that runs twice because its start request was repeated.
#[test]
fn repeated_start_has_no_effect() {
    run(async {
        let api = WorkerApi::start(Options::default()).await;
        let id = attempt("j", 1, 1);
        for _ in 0..3 {
            assert_eq!(api.start_task(id.clone(), 10_000, "work_ms=50").await, ActionResult::Done);
        }
        assert_eq!(api.ended(&id).await, WorkerOutcome::Completed);
        assert_eq!(api.start_task(id, 10_000, "work_ms=50").await, ActionResult::Done);
        assert_eq!(api.worker.history().len(), 1);
    });
}

/// Guards against delayed requests that start a task or renew its lease after the lease has
/// expired.
#[test]
fn lease_ends_a_task_and_cannot_be_revived() {
    run(async {
        let api = WorkerApi::start(Options::default()).await;
        let id = attempt("j", 1, 1);
        let stale = api.list().await;
        assert_eq!(api.start_task(id.clone(), 100, "work_ms=60000").await, ActionResult::Done);
        assert!(matches!(api.ended(&id).await, WorkerOutcome::Expired { checkpoint: Some(_) }));
        let lease = TaskLease { attempt: id.clone(), valid_until_ms: stale.now_ms + 60_000 };
        let renew =
            Action::Renew { instance: stale.instance, leases: vec![lease], until: Vec::new() };
        assert_eq!(api.perform(renew).await, ActionResult::Done);
        assert!(matches!(api.ended(&id).await, WorkerOutcome::Expired { .. }));
        let late = api.start_task(attempt("k", 1, 1), 0, "work_ms=10").await;
        assert!(matches!(late, ActionResult::Refused(_)));
        let interval = &api.worker.history()[0];
        assert!(interval.end_us.unwrap() - interval.start_us <= 102_000);
    });
}

/// Guards against a worker that accepts a request meant for another instance, such as the one
/// before its restart.
#[test]
fn requests_for_another_instance_are_refused() {
    run(async {
        let api = WorkerApi::start(Options::default()).await;
        let instance = api.list().await.instance.wrapping_add(1);
        let leases = Vec::new();
        let renew = Action::Renew { instance, leases, until: Vec::new() };
        assert!(matches!(api.perform(renew).await, ActionResult::Refused(_)));
    });
}

/// Guards against a start request of a killed agent that arrives after its successor has listed the
/// worker's tasks.
#[test]
fn only_the_last_claim_starts_tasks() {
    run(async {
        let api = WorkerApi::start(Options::default()).await;
        let old = api.claim(None, 0).await.unwrap().claim;
        let new = api.claim(None, 0).await.unwrap().claim;
        assert_eq!(api.list().await.controller, new.controller);
        let late = api.start_claimed(old, attempt("j", 1, 1), 10_000, "work_ms=10").await;
        assert!(matches!(late, ActionResult::Refused(_)));
        let started = api.start_claimed(new, attempt("j", 1, 1), 10_000, "work_ms=10").await;
        assert_eq!(started, ActionResult::Done);
    });
}

/// Guards against a worker whose throttling, usage figures or checkpoints differ from what the
/// agent assumes.
#[test]
fn throttle_usage_and_checkpoint_follow_the_contract() {
    run(async {
        let options = Options {
            usage_lag: Duration::from_millis(100),
            usage_factor: 3.0,
            ..Options::default()
        };
        let api = WorkerApi::start(options).await;
        let id = attempt("j", 1, 1);
        assert_eq!(api.start_task(id.clone(), 60_000, "work_ms=60000").await, ActionResult::Done);
        let task = api.list().await.tasks.remove(0);
        assert!(task.usage.is_zero(), "usage is reported without its lag");
        assert_eq!(api.perform(Action::Throttle(id.clone(), 50)).await, ActionResult::Done);
        let expected = Resources::new(1_500, 1_500, 0);
        for _ in 0..1_000 {
            if api.list().await.tasks[0].usage == expected {
                break;
            }
            runtime::sleep(Duration::from_millis(10)).await;
        }
        let task = api.list().await.tasks.remove(0);
        assert_eq!((task.usage, task.speed_percent), (expected, 50));
        let (effect, checkpoint, _) = api.client.perform(&Action::Checkpoint(id.clone())).await;
        assert_eq!(effect, ActionResult::Done);
        let checkpoint = checkpoint.map(|checkpoint| checkpoint.checkpoint);
        assert_eq!(api.ended(&id).await, WorkerOutcome::Stopped { checkpoint });
        let repeated = api.perform(Action::Checkpoint(id.clone())).await;
        assert!(matches!(repeated, ActionResult::Refused(_)));
    });
}

/// Guards against results that disappear before the agent removes them, or remain afterwards.
#[test]
fn results_stay_until_they_are_removed() {
    run(async {
        let api = WorkerApi::start(Options::default()).await;
        let id = attempt("j", 1, 1);
        assert_eq!(api.start_task(id.clone(), 60_000, "work_ms=5000").await, ActionResult::Done);
        let early = api.perform(Action::Remove(id.clone())).await;
        assert!(matches!(early, ActionResult::Refused(_)));
        assert_eq!(api.perform(Action::Stop(id.clone())).await, ActionResult::Done);
        assert_eq!(api.ended(&id).await, WorkerOutcome::Stopped { checkpoint: None });
        assert_eq!(api.perform(Action::Remove(id)).await, ActionResult::Done);
        assert!(api.list().await.tasks.is_empty());
    });
}

/// Guards against a task that counts as stopped before the worker confirms its end.
#[test]
fn stopping_task_stays_listed_until_it_is_gone() {
    run(async {
        let options = Options { stop_time: Duration::from_millis(200), ..Options::default() };
        let api = WorkerApi::start(options).await;
        let id = attempt("j", 1, 1);
        assert_eq!(api.start_task(id.clone(), 60_000, "work_ms=5000").await, ActionResult::Done);
        assert_eq!(api.perform(Action::Stop(id.clone())).await, ActionResult::Done);
        assert!(api.list().await.tasks[0].outcome.is_none());
        assert_eq!(api.ended(&id).await, WorkerOutcome::Stopped { checkpoint: None });
        let interval = &api.worker.history()[0];
        assert!(interval.end_us.unwrap() - interval.start_us >= 200_000);
    });
}

/// Guards against a stored epoch that is lost when an agent restarts, or that decreases.
#[test]
fn claims_keep_the_highest_epoch() {
    run(async {
        let api = WorkerApi::start(Options::default()).await;
        let first = api.claim(None, 0).await.unwrap();
        assert_eq!(first.epoch, 0);
        let kept = api.claim(Some(first.claim), 7).await.unwrap();
        assert_eq!((kept.claim, kept.epoch), (first.claim, 7), "keeping is no new claim");
        assert_eq!(api.claim(Some(first.claim), 5).await.unwrap().epoch, 7);
        let second = api.claim(None, 0).await.unwrap();
        assert_eq!(second.epoch, 7);
        assert_eq!(api.claim(Some(first.claim), 9).await, None, "the first claim has ended");
        assert_eq!(api.claim(Some(second.claim), 0).await.unwrap().epoch, 7);
    });
}
