//! Guards against a drain that interrupts requests or never ends.

use peridotfold_core::message::announce::AgentState;
use peridotfold_core::message::request::RefuseReason;
use peridotfold_standins::upstream::answers::slot_body;
use peridotfold_wire::runtime;

use crate::support::{first_part, rest, run, service, wait_until, Setup, SetupOptions};

#[test]
fn drain_finishes_requests_and_closes_feeds_with_an_end() {
    run(async {
        let setup =
            Setup::start(SetupOptions { service: Some(service(2, 8)), ..SetupOptions::default() })
                .await;
        let feed = setup.head("GET", "/feed?period_ms=5");
        let (_feed_sender, mut feed) = setup.open(&feed, "").await;
        assert_eq!(first_part(&mut feed).await, "feed 1\n");
        setup.set_base_latency(700.0);
        let running = setup.spawn(setup.head("GET", "/slot/1"), "");
        setup.wait_load(2, 0).await;
        let queued = setup.spawn(setup.head("GET", "/slot/2"), "");
        setup.wait_load(2, 1).await;
        let refused = setup.head("POST", "/bid");
        let Setup { agent, entry, peers, upstream, .. } = setup;
        let (shared, address) = (agent.shared().clone(), agent.internal().to_string());
        let drained = runtime::spawn(agent.drain());
        wait_until("leaving", || shared.leaving.is_set()).await;
        let (_sender, receiver) = crate::support::open(&peers, &address, &refused, "late").await;
        let refused = crate::support::collect(receiver).await;
        assert_eq!(refused.reason(), RefuseReason::Leaving);
        wait_until("leaving is announced", || {
            entry.announces.lock().last().is_some_and(|last| last.state == AgentState::Leaving)
        })
        .await;
        assert_eq!(running.await.whole(), slot_body("/slot/1"));
        assert_eq!(queued.await.whole(), slot_body("/slot/2"));
        let (lines, whole) = rest(&mut feed).await;
        assert!(whole, "the feed was cut");
        for (index, line) in lines.lines().enumerate() {
            assert_eq!(line, format!("feed {}", index + 2));
        }
        assert!(lines.ends_with('\n'));
        drained.await;
        assert!(shared.gate.is_idle());
        assert!(upstream.executions().is_empty());
    });
}

#[test]
fn drain_ends_although_an_entry_does_not_read_its_feed() {
    run(async {
        let setup = Setup::start(SetupOptions::default()).await;
        let feed = setup.head("GET", &format!("/feed?period_ms=0&name={}", "x".repeat(4000)));
        let (_sender, _feed) = setup.open(&feed, "").await;
        let gate = setup.agent.shared().gate.clone();
        wait_until("feed is open", || gate.load().streams == 1).await;
        setup.agent.drain().await;
        assert!(gate.is_idle());
    });
}

/// Guards against an agent that stops before the entries know that it leaves. They would send it
/// requests for another 3 s.
#[test]
fn idle_agent_stays_until_the_entries_know_that_it_leaves() {
    run(async {
        let setup = Setup::start(SetupOptions::default()).await;
        let Setup { agent, entry, .. } = setup;
        agent.drain().await;
        let last = entry.announces.lock().last().unwrap().clone();
        assert_eq!(last.state, AgentState::Leaving);
    });
}
