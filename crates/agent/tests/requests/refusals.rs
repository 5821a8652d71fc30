//! Guards against requests that are reported as not run although they may have run, and against
//! requests that run after they were reported as not run.

use std::net::SocketAddr;
use std::time::Duration;

use peridotfold_core::message::announce::AgentState;
use peridotfold_core::message::request::{CancelReply, RefuseReason};
use peridotfold_standins::upstream::answers::slot_body;
use peridotfold_wire::runtime;
use smol::io::AsyncReadExt;
use smol::net::TcpListener;

use crate::support::{loopback, run, service, wait_until, Reply, Setup, SetupOptions, SERVICE};

#[test]
fn cancelled_in_the_queue_never_runs() {
    run(async {
        let setup =
            Setup::start(SetupOptions { service: Some(service(1, 4)), ..SetupOptions::default() })
                .await;
        setup.set_base_latency(300.0);
        let running = setup.head("POST", "/bid");
        let queued = setup.head("POST", "/bid");
        let first = setup.spawn(running.clone(), "first");
        setup.wait_load(1, 0).await;
        let second = setup.spawn(queued.clone(), "second");
        setup.wait_load(1, 1).await;
        assert_eq!(setup.cancel(&queued.id).await, CancelReply::NotStarted);
        assert_eq!(second.await.reason(), RefuseReason::Duplicate);
        // A delayed copy, and a request that arrives after its cancellation.
        assert_eq!(setup.send(&queued, "second").await.reason(), RefuseReason::Duplicate);
        let late = setup.head("POST", "/bid");
        assert_eq!(setup.cancel(&late.id).await, CancelReply::NotStarted);
        assert_eq!(setup.send(&late, "late").await.reason(), RefuseReason::Duplicate);
        assert_eq!(setup.cancel(&running.id).await, CancelReply::Running);
        first.await.whole();
        wait_until("slot is free", || setup.agent.shared().gate.is_idle()).await;
        assert_eq!(setup.cancel(&running.id).await, CancelReply::Done);
        assert!(matches!(setup.send(&running, "first").await, Reply::Unknown(_)));
        assert_eq!(setup.upstream.executions().len(), 1);
    });
}

#[test]
fn overload_is_refused_with_a_retry_after_time_while_others_wait() {
    run(async {
        let setup =
            Setup::start(SetupOptions { service: Some(service(2, 2)), ..SetupOptions::default() })
                .await;
        setup.set_base_latency(400.0);
        let admitted: Vec<_> =
            (0..4).map(|_| setup.spawn(setup.head("GET", "/slot/1"), "")).collect();
        setup.wait_load(2, 2).await;
        match setup.send(&setup.head("GET", "/slot/2"), "").await {
            Reply::NotRun(RefuseReason::Overloaded, after) => assert!(after > Duration::ZERO),
            other => panic!("{other:?}"),
        }
        let mut late = setup.head("GET", "/slot/3");
        late.timeout = Duration::ZERO;
        assert_eq!(setup.send(&late, "").await.reason(), RefuseReason::DeadlinePassed);
        for task in admitted {
            assert_eq!(task.await.whole(), slot_body("/slot/1"));
        }
    });
}

#[test]
fn deadline_that_passes_in_the_queue_is_not_run() {
    run(async {
        let setup =
            Setup::start(SetupOptions { service: Some(service(1, 4)), ..SetupOptions::default() })
                .await;
        setup.set_base_latency(60_000.0);
        let running = setup.head("GET", "/slot/1");
        let _first = setup.spawn(running.clone(), "");
        setup.wait_load(1, 0).await;
        let mut queued = setup.head("POST", "/bid");
        queued.timeout = Duration::from_millis(50);
        assert_eq!(setup.send(&queued, "x").await.reason(), RefuseReason::DeadlinePassed);
        assert!(setup.upstream.executions().is_empty());
        // Cancelling a running idempotent request releases its slot.
        assert_eq!(setup.cancel(&running.id).await, CancelReply::Running);
        setup.wait_load(0, 0).await;
    });
}

#[test]
fn unreachable_upstream_is_not_run() {
    run(async {
        // A port on which nothing listens any more.
        let closed = TcpListener::bind(loopback()).await.unwrap().local_addr().unwrap();
        let setup =
            Setup::start(SetupOptions { upstream: Some(closed), ..SetupOptions::default() }).await;
        let head = setup.head("POST", "/bid");
        assert_eq!(setup.send(&head, "x").await.reason(), RefuseReason::UpstreamUnreachable);
        assert_eq!(setup.send(&head, "x").await.reason(), RefuseReason::Duplicate);
        assert_eq!(setup.cancel(&head.id).await, CancelReply::NotStarted);
    });
}

/// Starts a server that closes each connection after reading part of the request, and returns its
/// address.
async fn closing_upstream() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    runtime::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 16]).await;
        }
    })
    .detach();
    address
}

#[test]
fn upstream_that_closes_after_the_request_leaves_it_unknown() {
    run(async {
        let upstream = Some(closing_upstream().await);
        let setup = Setup::start(SetupOptions { upstream, ..SetupOptions::default() }).await;
        for method in ["POST", "GET"] {
            let head = setup.head(method, "/bid");
            let reply = setup.send(&head, "x").await;
            assert!(matches!(reply, Reply::Unknown(_)), "{reply:?}");
            assert_eq!(setup.cancel(&head.id).await, CancelReply::Done);
        }
    });
}

#[test]
fn request_meant_for_another_is_refused() {
    run(async {
        let setup = Setup::start(SetupOptions::default()).await;
        let mut head = setup.head("POST", "/bid");
        head.agent_incarnation += 1;
        assert_eq!(setup.send(&head, "x").await.reason(), RefuseReason::WrongIncarnation);
        let mut head = setup.head("POST", "/bid");
        head.service = "another".into();
        assert_eq!(setup.send(&head, "x").await.reason(), RefuseReason::UnknownService);
        assert!(setup.upstream.executions().is_empty());
    });
}

#[test]
fn nothing_is_served_without_configuration() {
    run(async {
        let setup = Setup::start(SetupOptions { service: None, ..SetupOptions::default() }).await;
        let head = setup.head("GET", "/slot/1");
        assert_eq!(setup.send(&head, "").await.reason(), RefuseReason::NoConfig);
        *setup.entry.announced.lock() = (3, Some(service(8, 32)));
        let shared = setup.agent.shared().clone();
        wait_until("configuration", || shared.view.version() == 3).await;
        assert_eq!(
            setup.send(&setup.head("GET", "/slot/1"), "").await.whole(),
            slot_body("/slot/1")
        );
        wait_until("service is announced", || {
            let announces = setup.entry.announces.lock();
            let last = announces.last().unwrap();
            last.state == AgentState::Ready
                && last.services.first().is_some_and(|load| load.service == SERVICE)
        })
        .await;
    });
}

#[test]
fn agent_that_is_behind_catches_up_or_refuses() {
    run(async {
        let setup = Setup::start(SetupOptions::default()).await;
        let mut head = setup.head("GET", "/slot/1");
        head.config_version = 2;
        // The entry does not have version 2 either.
        assert_eq!(setup.send(&head, "").await.reason(), RefuseReason::NoConfig);
        *setup.entry.newest.lock() = (2, Some(service(3, 32)));
        let mut head = setup.head("GET", "/slot/1");
        head.config_version = 2;
        setup.send(&head, "").await.whole();
        assert_eq!(setup.agent.shared().gate.load().slots, 3);
        // Announce replies still carry version 1, which must not replace the newer version.
        let count = setup.entry.announces.lock().len();
        wait_until("two announcements", || setup.entry.announces.lock().len() >= count + 2).await;
        assert_eq!(setup.agent.shared().view.version(), 2);
        assert_eq!(setup.agent.shared().gate.load().slots, 3);
    });
}
