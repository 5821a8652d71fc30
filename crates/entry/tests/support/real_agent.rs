//! The real agent, run in the test process.

use std::net::SocketAddr;
use std::time::Duration;

use peridotfold_agent::settings::Settings;
use peridotfold_agent::Agent;

/// Starts an agent of the service `open` that announces itself to `entries`.
pub async fn start(name: &str, upstream: SocketAddr, entries: Vec<SocketAddr>) -> Agent {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = Settings {
        id: name.into(),
        data_centre: "dc-1".into(),
        rack: "rack-1".into(),
        cell: "cell-1".into(),
        internal: any,
        advertise: None,
        http: any,
        entries,
        service: "open".into(),
        upstream,
        // No worker listens on this port, since these tests run no batch tasks.
        worker: SocketAddr::from(([127, 0, 0, 1], 9)),
        drain_grace: Duration::from_secs(1),
    };
    Agent::start(settings).await.expect("the agent starts")
}
