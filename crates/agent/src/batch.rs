//! Batch tasks on this VM: keeps the worker in line with the orders of the cell's owner.
//!
//! Two loops share the state. One lists the worker's tasks and performs the actions that are due;
//! the other reports to the owner and takes its orders. The lock of the state is never held across
//! an await.

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

/// Pause between two lists while tasks are there, and while there are none.
const POLL_INTERVAL_BUSY: Duration = Duration::from_millis(250);
const POLL_INTERVAL_IDLE: Duration = Duration::from_secs(1);
/// Requests to the worker at a time.
const MAX_PARALLEL_ACTIONS: usize = 8;
const CONTROL_PERIOD: Duration = Duration::from_secs(1);
/// Assumed lag of the worker's usage and of the smoothed latency.
const MEASUREMENT_LAG: Duration = Duration::from_secs(2);
/// Latency to protect before the configuration names one; its own default.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(50);
/// The owner holds a reply for up to 1 s.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest pause between two reports: after orders, and otherwise. Keeps an owner that replies at
/// once from being called in a tight loop.
const REPORT_PAUSE_AFTER_ORDERS: Duration = Duration::from_millis(20);
const REPORT_PAUSE: Duration = Duration::from_millis(100);
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(250);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Batch tasks of a VM.
#[derive(Debug, Clone)]
pub struct Batch {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    worker: WorkerClient,
    peers: Arc<Peers>,
    service: ServiceId,
    drain_grace: Duration,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
    stop_trigger: Trigger,
    stopped: Shutdown,
}

#[derive(Debug)]
struct State {
    tasks: Tasks,
    colocation: Colocation,
    next_control: Time,
    worker_answers: bool,
    owner_answers: bool,
}

impl Batch {
    /// Builds the state; nothing is contacted before [`Batch::run`].
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

    /// Runs tasks until the batch work is drained. The signal starts a drain with the grace period
    /// of the settings, unless [`Batch::drain`] has ended before.
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

    /// Takes checkpoints of all tasks, stops them and hands them back, for at most `limit`; then
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
        // A full channel means that the loop is about to run anyway.
        let _ = self.wake_sender.try_send(());
    }

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

    async fn sleep_or_wake(&self, duration: Duration) {
        let woken = async {
            let _ = self.wake_receiver.recv().await;
        };
        future::or(runtime::sleep(duration), woken).await;
    }

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

    /// Performs actions in order, several at a time. Ends early when the worker does not answer:
    /// the rest is due again after the next list.
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

    /// Performs one action; tells whether the worker answered.
    async fn perform(&self, action: Action) -> bool {
        // The clock is read here, after any pause since the decision.
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

    async fn report_loop(&self, owner: impl Fn() -> Option<CellOwner>) {
        loop {
            let pause = match owner() {
                Some(owner) => self.report(&owner).await,
                None => REPORT_RETRY_DELAY,
            };
            runtime::sleep(pause).await;
        }
    }

    /// Sends one report and obeys the reply; returns the pause before the next one.
    async fn report(&self, owner: &CellOwner) -> Duration {
        let report = {
            let mut state = self.state.lock();
            let pressure = state.colocation.pressure_percent();
            // The lease counts from this time, which is before the report is sent.
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

fn has_orders(orders: &Orders) -> bool {
    !(orders.starts.is_empty() && orders.stops.is_empty() && orders.acknowledged.is_empty())
}
