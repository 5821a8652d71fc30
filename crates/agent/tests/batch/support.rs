//! Test setup for batch tasks: a stand-in cell owner and an agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Once};
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use peridotfold_agent::batch::Batch;
use peridotfold_agent::settings::Settings;
use peridotfold_core::config::{Document, JobClass, Service};
use peridotfold_core::message::announce::CellOwner;
use peridotfold_core::message::report::{
    AttemptId, Orders, Outcome, Report, StartOrder, StopOrder, Token,
};
use peridotfold_core::resources::Resources;
use peridotfold_wire::error::WireError;
use peridotfold_wire::peer::Peers;
use peridotfold_wire::runtime;
use peridotfold_wire::server::{Handler, MessageServer, Stream};
use peridotfold_wire::shutdown::{self, Trigger};

/// Timeout of each wait. Far above the expected times, since it only ends a test that hangs.
const WAIT: Duration = Duration::from_secs(20);

/// Runs a test on the thread pool.
pub fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    static THREADS: Once = Once::new();
    THREADS.call_once(|| runtime::start_threads(2));
    smol::block_on(test)
}

/// Waits until `condition` holds; panics with `what` after [`WAIT`].
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = runtime::now() + WAIT;
    while !condition() {
        assert!(runtime::now() < deadline, "not within {WAIT:?}: {what}");
        runtime::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the ID of an attempt of task 0 of a job.
pub fn attempt(job: &str, epoch: u64, number: u64) -> AttemptId {
    AttemptId { job: job.into(), task: 0, token: Token { epoch, number } }
}

/// Returns an order to start an attempt with `command`.
pub fn start_order(id: AttemptId, command: &str) -> StartOrder {
    StartOrder {
        attempt: id,
        team: "listings".into(),
        class: "rebuild".into(),
        need: Resources::new(1_000, 1_000, 0),
        urgent: false,
        command: Bytes::from(command.to_owned()),
        checkpoint: None,
    }
}

/// Orders for the owner's next reply, and the reports and outcomes that it has received.
#[derive(Debug, Default)]
pub struct OwnerState {
    pub epoch: u64,
    pub lease: Duration,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<StopOrder>,
    /// Whether the owner acknowledges results.
    pub acknowledges: bool,
    pub reports: Vec<Report>,
    pub outcomes: BTreeMap<AttemptId, Outcome>,
}

/// A stand-in cell owner whose orders are set by the test through `state`.
pub struct Owner {
    pub state: Arc<Mutex<OwnerState>>,
    pub address: SocketAddr,
    _trigger: Trigger,
}

struct OwnerHandler(Arc<Mutex<OwnerState>>);

impl Handler for OwnerHandler {
    async fn handle(&self, mut stream: Stream) -> Result<(), WireError> {
        assert_eq!(stream.kind, "report");
        let Some(report) = stream.receiver.next::<Report>().await? else { return Ok(()) };
        let orders = {
            let mut state = self.0.lock();
            for result in &report.results {
                state.outcomes.insert(result.attempt.clone(), result.outcome.clone());
            }
            let acknowledged = match state.acknowledges {
                true => report.results.iter().map(|result| result.attempt.clone()).collect(),
                false => Vec::new(),
            };
            // Like the real owner, sends no start before the agent has accepted the epoch.
            let starts = match report.epoch == state.epoch {
                true => std::mem::take(&mut state.starts),
                false => Vec::new(),
            };
            let orders = Orders {
                epoch: state.epoch,
                sequence: report.sequence,
                challenge: 0,
                lease: state.lease,
                starts,
                stops: std::mem::take(&mut state.stops),
                acknowledged,
            };
            state.reports.push(report);
            orders
        };
        stream.responder.reply(&orders).await
    }
}

impl Owner {
    pub async fn start() -> Owner {
        let state = OwnerState {
            epoch: 1,
            lease: Duration::from_secs(20),
            acknowledges: true,
            ..OwnerState::default()
        };
        let state = Arc::new(Mutex::new(state));
        let server = MessageServer::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = server.address();
        let (trigger, shutdown) = shutdown::channel();
        let handler = Arc::new(OwnerHandler(state.clone()));
        runtime::spawn(server.serve(handler, shutdown)).detach();
        Owner { state, address, _trigger: trigger }
    }

    /// Returns the reported outcome of an attempt.
    pub fn outcome(&self, id: &AttemptId) -> Option<Outcome> {
        self.state.lock().outcomes.get(id).cloned()
    }

    /// Tells whether the last report lists the attempt as running.
    pub fn is_running(&self, id: &AttemptId) -> bool {
        let state = self.state.lock();
        state
            .reports
            .last()
            .is_some_and(|report| report.running.iter().any(|task| task.attempt == *id))
    }
}

/// Returns a configuration with one service and one job class.
pub fn document() -> Arc<Document> {
    let service = Service {
        teams: Vec::new(),
        limit: Resources::new(10_000, 20_000, 0),
        slots: 8,
        connections: 60,
        queue: 32,
        timeout_ms: 2_000,
        target_ms: 50,
    };
    let class = JobClass { limit: Resources::new(6_000, 40_000, 1), urgent: false };
    Arc::new(Document {
        services: BTreeMap::from([("listings".to_owned(), service)]),
        classes: BTreeMap::from([("rebuild".to_owned(), class)]),
        ..Document::default()
    })
}

/// The batch tasks of an agent, without its other parts. Firing or dropping `trigger` starts a
/// drain.
pub struct Agent {
    pub running: smol::Task<()>,
    pub trigger: Trigger,
}

impl Agent {
    pub fn start(worker: SocketAddr, owner: SocketAddr, incarnation: u64) -> Agent {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            id: "a1".into(),
            data_centre: "dc1".into(),
            rack: "r1".into(),
            cell: "c1".into(),
            internal: any,
            advertise: None,
            http: any,
            entries: Vec::new(),
            service: "listings".into(),
            upstream: any,
            worker,
            drain_grace: Duration::from_secs(10),
        };
        let batch = Batch::new(&settings, incarnation, Arc::new(Peers::default()));
        let (trigger, shutdown) = shutdown::channel();
        let owner = CellOwner { entry: "e1".into(), address: owner.to_string(), epoch: 1 };
        let document = document();
        let running = runtime::spawn(async move {
            let documents = move || Some(document.clone());
            let owners = move || Some(owner.clone());
            batch.run(documents, owners, || Duration::from_millis(5), shutdown).await;
        });
        Agent { running, trigger }
    }

    /// Stops the agent without a drain, as if its process were killed.
    pub async fn kill(self) {
        self.running.cancel().await;
    }
}
