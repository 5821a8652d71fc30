//! Batch tasks on this VM: carries out the orders of the cell's owner on the worker.
//!
//! The owner is the entry that schedules the tasks of the cell; the worker is the platform's
//! process on this VM that executes them. Two loops share the state. One lists the worker's tasks
//! and performs the due actions; the other reports to the owner and receives its orders. The state
//! lock is never held across an await.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_channel::{Receiver, Sender};
use futures_lite::future;
use parking_lot::Mutex;
use peridotfold_core::colocation::{calendar, ClassLoad, Colocation, Decision, Sample};
use peridotfold_core::config::Document;
use peridotfold_core::id::{Incarnation, ServiceId};
use peridotfold_core::message::announce::CellOwner;
use peridotfold_core::message::report::Orders;
use peridotfold_core::tasks::{Action, ActionResult, Identity, Tasks};
use peridotfold_core::time::Time;
use peridotfold_wire::error::WireError;
use peridotfold_wire::peer::Peers;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::{self, Shutdown, Trigger};

use crate::settings::Settings;

mod log;
pub mod worker_client;

use worker_client::WorkerClient;

/// Interval between listings of the worker's tasks while it has tasks.
const POLL_INTERVAL_BUSY: Duration = Duration::from_millis(250);
/// Interval between listings of the worker's tasks while it has none.
const POLL_INTERVAL_IDLE: Duration = Duration::from_secs(1);
/// Maximum number of concurrent requests to the worker.
const MAX_PARALLEL_ACTIONS: usize = 8;
/// Interval between steps of the colocation controller, which throttles and evicts batch tasks to
/// protect the latency of the service.
const CONTROL_PERIOD: Duration = Duration::from_secs(1);
/// Assumed delay until a change shows in the worker's usage figures and the smoothed latency.
const MEASUREMENT_LAG: Duration = Duration::from_secs(2);
/// Latency target until the configuration is known. Equals the default of the configuration.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(50);
/// Timeout of a report. The owner may delay a reply by up to 1 s.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a report whose reply contained orders. Avoids a busy loop when the owner replies
/// immediately.
const REPORT_PAUSE_AFTER_ORDERS: Duration = Duration::from_millis(20);
/// Pause after a report whose reply contained no orders.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed report, or while no owner is known.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between checks whether the drain is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Handle to the batch tasks of a VM. Clones share the state.
#[derive(Debug, Clone)]
pub struct Batch {
    inner: Arc<Inner>,
}

/// Shared part of [`Batch`].
#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    worker: WorkerClient,
    peers: Arc<Peers>,
    service: ServiceId,
    drain_grace: Duration,
    /// Wakes the worker loop before its poll interval ends.
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
    /// Ends [`Batch::run`] after a drain.
    stop_trigger: Trigger,
    stopped: Shutdown,
}

/// State of the tasks and of the colocation controller, shared by both loops.
#[derive(Debug)]
struct State {
    tasks: Tasks,
    colocation: Colocation,
    /// Time of the next step of the colocation controller.
    next_control: Time,
    /// Whether the last listing succeeded; a change is logged.
    worker_answers: bool,
    /// Whether the last report succeeded; a change is logged.
    owner_answers: bool,
}

impl Batch {
    /// Creates the state. Nothing is sent before [`Batch::run`].
    pub fn new(settings: &Settings, incarnation: Incarnation, peers: Arc<Peers>) -> Batch {
        let identity = Identity {
            agent: settings.id.clone(),
            incarnation,
            cell: settings.cell.clone(),
            rack: settings.rack.clone(),
        };
        let state = State {
            tasks: Tasks::new(identity, MEASUREMENT_LAG),
            colocation: Colocation::new(MEASUREMENT_LAG, DEFAULT_LATENCY_TARGET),
            next_control: Duration::ZERO,
            worker_answers: true,
            owner_answers: true,
        };
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        let (stop_trigger, stopped) = shutdown::channel();
        let inner = Inner {
            state: Mutex::new(state),
            worker: WorkerClient::new(settings.worker),
            peers,
            service: settings.service.clone(),
            drain_grace: settings.drain_grace,
            wake_sender,
            wake_receiver,
            stop_trigger,
            stopped,
        };
        Batch { inner: Arc::new(inner) }
    }

    /// Runs tasks until they are drained. `shutdown` starts a drain that is limited to the grace
    /// period in the settings. `document`, `owner` and `latency` return the current configuration,
    /// owner of the cell and latency of the service.
    pub async fn run(
        &self,
        document: impl Fn() -> Option<Arc<Document>> + Send + Sync + 'static,
        owner: impl Fn() -> Option<CellOwner> + Send + Sync + 'static,
        latency: impl Fn() -> Duration + Send + Sync + 'static,
        shutdown: Shutdown,
    ) {
        let inner = &self.inner;
        let tasks = inner.worker_loop(document, latency);
        let reports = inner.report_loop(owner);
        let drained = async {
            shutdown.wait().await;
            self.drain(inner.drain_grace).await;
        };
        future::or(future::or(tasks, reports), future::or(inner.stopped.wait(), drained)).await;
    }

    /// Checkpoints and stops all tasks and returns them to the owner, for at most `limit`; then
    /// ends [`Batch::run`].
    pub async fn drain(&self, limit: Duration) {
        let deadline = runtime::now() + limit;
        self.inner.state.lock().tasks.drain();
        self.inner.wake_worker_loop();
        while runtime::now() < deadline && !self.inner.stopped.is_set() {
            if self.inner.state.lock().tasks.is_drained() {
                break;
            }
            runtime::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let remaining = self.inner.state.lock().tasks.attempt_count();
        tracing::info!(event = "batch_drained", attempts_left = remaining);
        self.inner.stop_trigger.fire();
    }
}

impl Inner {
    fn wake_worker_loop(&self) {
        // When the channel is full, a wake-up is already pending.
        let _ = self.wake_sender.try_send(());
    }

    /// Lists the worker's tasks and performs the due actions, forever.
    async fn worker_loop(
        self: &Arc<Self>,
        document: impl Fn() -> Option<Arc<Document>>,
        latency: impl Fn() -> Duration,
    ) {
        loop {
            match self.refresh_tasks().await {
                Ok(()) => log::worker_reachable(&mut self.state.lock().worker_answers),
                Err(error) => log::worker_failed(&mut self.state.lock().worker_answers, &error),
            }
            let actions = self.due_actions(document(), latency());
            self.perform_all(actions).await;
            let busy = {
                let mut state = self.state.lock();
                log::transitions(&mut state.tasks);
                log::gauges(&state.tasks, &state.colocation);
                state.tasks.attempt_count() > 0
            };
            self.sleep_or_wake(if busy { POLL_INTERVAL_BUSY } else { POLL_INTERVAL_IDLE }).await;
        }
    }

    /// Sends a claim to the worker if one is due, then updates the state from its list of tasks.
    async fn refresh_tasks(&self) -> Result<(), WireError> {
        let request = self.state.lock().tasks.claim_request();
        if let Some(request) = request {
            let claimed = self.worker.claim(&request).await?;
            let mut state = self.state.lock();
            match claimed {
                Some(claimed) => state.tasks.claimed(claimed),
                None => {
                    state.tasks.claim_refused();
                    return Ok(());
                }
            }
        }
        let asked_at = runtime::now();
        let list = self.worker.list().await?;
        self.state.lock().tasks.apply_list(asked_at, runtime::now(), &list);
        Ok(())
    }

    /// Sleeps for `duration` or until woken.
    async fn sleep_or_wake(&self, duration: Duration) {
        let woken = async {
            let _ = self.wake_receiver.recv().await;
        };
        future::or(runtime::sleep(duration), woken).await;
    }

    /// Applies the configuration, runs the colocation controller if due, and returns the due
    /// actions.
    fn due_actions(&self, document: Option<Arc<Document>>, latency: Duration) -> Vec<Action> {
        let mut state = self.state.lock();
        let now = runtime::now();
        if let Some(document) = document {
            let limits = calendar::limits(&document, &self.service, SystemTime::now());
            state.tasks.set_limits(limits);
            if now >= state.next_control {
                state.next_control = now + CONTROL_PERIOD;
                state.adjust_colocation(now, &document, &self.service, latency);
            }
        }
        state.tasks.actions(now)
    }

    /// Performs actions in order, up to [`MAX_PARALLEL_ACTIONS`] at a time. Stops when the worker
    /// does not answer; the remaining actions are due again after the next listing.
    async fn perform_all(self: &Arc<Self>, actions: Vec<Action>) {
        for group in actions.chunks(MAX_PARALLEL_ACTIONS) {
            let started: Vec<smol::Task<bool>> = group
                .iter()
                .map(|action| {
                    let (inner, action) = (self.clone(), action.clone());
                    runtime::spawn(async move { inner.perform(action).await })
                })
                .collect();
            let mut answered = true;
            for task in started {
                answered &= task.await;
            }
            if !answered {
                return;
            }
        }
    }

    /// Performs one action. Returns whether the worker answered, or `true` if the action is no
    /// longer due.
    async fn perform(&self, action: Action) -> bool {
        // Time may have passed since the action was chosen, so the clock is read again.
        if !self.state.lock().tasks.begin(runtime::now(), &action) {
            return true;
        }
        let (result, checkpoint, error) = self.worker.perform(&action).await;
        if let Some(error) = error {
            log::action_failed(&action, &error);
        }
        let answered = matches!(result, ActionResult::Done | ActionResult::Refused(_));
        let mut state = self.state.lock();
        state.tasks.record_result(runtime::now(), &action, result);
        if let (Action::Checkpoint(id), Some(taken)) = (&action, checkpoint) {
            state.tasks.record_checkpoint(id, taken.checkpoint.into());
        }
        answered
    }

    /// Reports to the owner forever.
    async fn report_loop(&self, owner: impl Fn() -> Option<CellOwner>) {
        loop {
            let pause = match owner() {
                Some(owner) => self.report(&owner).await,
                None => REPORT_RETRY_DELAY,
            };
            runtime::sleep(pause).await;
        }
    }

    /// Sends one report and applies the orders in the reply. Returns the pause before the next
    /// report.
    async fn report(&self, owner: &CellOwner) -> Duration {
        let report = {
            let mut state = self.state.lock();
            let pressure = state.colocation.pressure_percent();
            // The lease starts at this time, before the report is sent, so it cannot outlast the
            // lease that the owner assumes.
            state.tasks.report(runtime::now(), pressure)
        };
        let Some(report) = report else { return REPORT_PAUSE };
        let reply =
            self.peers.call::<_, Orders>(&owner.address, "report", &report, REPORT_TIMEOUT).await;
        match reply {
            Ok(orders) => {
                let ordered = has_orders(&orders);
                let mut state = self.state.lock();
                log::owner_reachable(&mut state.owner_answers);
                state.tasks.apply_orders(runtime::now(), orders);
                log::transitions(&mut state.tasks);
                drop(state);
                self.wake_worker_loop();
                if ordered {
                    REPORT_PAUSE_AFTER_ORDERS
                } else {
                    REPORT_PAUSE
                }
            }
            Err(error) => {
                log::report_failed(&mut self.state.lock().owner_answers, &error);
                REPORT_RETRY_DELAY
            }
        }
    }
}

impl State {
    /// Feeds a latency sample to the colocation controller and applies its decision.
    fn adjust_colocation(
        &mut self,
        now: Time,
        document: &Document,
        service: &str,
        latency: Duration,
    ) {
        if let Some(service) = document.services.get(service) {
            self.colocation.set_target(service.target());
        }
        let sample = Sample { latency, classes: self.class_loads(document) };
        if let Some(decision) = self.colocation.observe(now, &sample) {
            log::decision(&decision, &self.colocation);
            if let Decision::Evict { class } = &decision {
                self.tasks.evict_newest(class);
            }
        }
        self.tasks.set_colocation(self.colocation.speeds(), self.colocation.blocked_classes(now));
    }

    /// Returns the CPU use and number of running tasks by job class.
    fn class_loads(&self, document: &Document) -> BTreeMap<String, ClassLoad> {
        let mut loads = BTreeMap::new();
        for (_, class, usage) in self.tasks.running() {
            let urgent = document.classes.get(class).is_some_and(|class| class.urgent);
            let empty = ClassLoad { tasks: 0, cpu_milli: 0, urgent };
            let load = loads.entry(class.to_owned()).or_insert(empty);
            load.tasks += 1;
            load.cpu_milli += usage.cpu_milli;
        }
        loads
    }
}

/// Tells whether the reply contains anything to act on.
fn has_orders(orders: &Orders) -> bool {
    !(orders.starts.is_empty() && orders.stops.is_empty() && orders.acknowledged.is_empty())
}
