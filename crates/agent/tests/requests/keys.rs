//! Guards against a request that runs twice for one idempotency key.

use peridotfold_core::message::request::RefuseReason;

use crate::support::{run, service, wait_until, Reply, Setup, SetupOptions};

#[test]
fn duplicates_join_the_running_request_and_replay_its_answer() {
    run(async {
        let setup =
            Setup::start(SetupOptions { service: Some(service(1, 1)), ..SetupOptions::default() })
                .await;
        setup.set_base_latency(300.0);
        let first = setup.spawn(setup.bid("k1"), "100");
        wait_until("first runs", || setup.upstream.running() == 1).await;
        // More than the queue holds: duplicates occupy no place in the queue.
        let joined: Vec<_> = (0..5).map(|_| setup.spawn(setup.bid("k1"), "100")).collect();
        let first = first.await.whole();
        for task in joined {
            let expected = Reply::Whole { status: 200, body: first.clone(), replayed: true };
            assert_eq!(task.await, expected);
        }
        assert_eq!(setup.send(&setup.bid("k1"), "100").await.whole(), first);
        assert_eq!(setup.upstream.executions().len(), 1);
        assert_eq!(setup.upstream.executions()[0].key.as_deref(), Some("k1"));
        assert_ne!(setup.send(&setup.bid("k2"), "100").await.whole(), first);
        assert_eq!(setup.upstream.executions().len(), 2);
    });
}

/// Guards against a duplicate that gets the answer of another key, either from a running request or
/// from the kept answers.
#[test]
fn duplicates_of_different_keys_get_their_own_answers() {
    run(async {
        let setup = Setup::start(SetupOptions::default()).await;
        setup.set_base_latency(300.0);
        let bids = [("k1", "100"), ("k2", "200"), ("k3", "300")];
        let first = bids.map(|(key, body)| setup.spawn(setup.bid(key), body));
        wait_until("all run", || setup.upstream.running() == 3).await;
        let joined = bids.map(|(key, body)| setup.spawn(setup.bid(key), body));
        for (((key, bid), first), joined) in bids.into_iter().zip(first).zip(joined) {
            let first = first.await.whole();
            assert!(first.ends_with(&format!("of {bid}\n")), "{key} got {first}");
            assert_eq!(joined.await.whole(), first, "a duplicate of {key} joined");
            assert_eq!(setup.send(&setup.bid(key), bid).await.whole(), first, "replay of {key}");
        }
        assert_eq!(setup.upstream.executions().len(), 3);
    });
}

#[test]
fn answer_outlives_the_entry_that_asked_first() {
    run(async {
        let setup = Setup::start(SetupOptions::default()).await;
        setup.set_base_latency(200.0);
        let (mut sender, receiver) = setup.open(&setup.bid("k1"), "100").await;
        wait_until("first runs", || setup.upstream.running() == 1).await;
        sender.abort();
        drop(receiver);
        let reply = setup.send(&setup.bid("k1"), "100").await;
        assert!(matches!(reply, Reply::Whole { status: 200, replayed: true, .. }), "{reply:?}");
        assert_eq!(setup.upstream.executions().len(), 1);
    });
}

#[test]
fn answer_too_large_to_keep_is_unknown_to_duplicates() {
    run(async {
        let setup = Setup::start(SetupOptions::default()).await;
        let large = |setup: &Setup| {
            let mut head = setup.bid("k1");
            head.path = "/bid?answer_bytes=40000".into();
            head
        };
        assert_eq!(setup.send(&large(&setup), "100").await.whole().len(), 40_000);
        let reply = setup.send(&large(&setup), "100").await;
        assert!(matches!(reply, Reply::Unknown(_)), "{reply:?}");
        assert_eq!(setup.upstream.executions().len(), 1);
    });
}

#[test]
fn refused_key_is_free_again() {
    run(async {
        let setup =
            Setup::start(SetupOptions { service: Some(service(1, 0)), ..SetupOptions::default() })
                .await;
        setup.set_base_latency(200.0);
        let slow = setup.spawn(setup.head("GET", "/slot/1"), "");
        setup.wait_load(1, 0).await;
        let reply = setup.send(&setup.bid("k1"), "100").await;
        assert_eq!(reply.reason(), RefuseReason::Overloaded);
        slow.await.whole();
        setup.wait_load(0, 0).await;
        setup.send(&setup.bid("k1"), "100").await.whole();
        assert_eq!(setup.upstream.executions().len(), 1);
    });
}

/// Guards against a key that ran but is reported as not run because the duplicate itself would be
/// refused. The caller could then bid again with another key.
#[test]
fn key_that_ran_is_never_reported_as_not_run() {
    run(async {
        let setup = Setup::start(SetupOptions::default()).await;
        let first = setup.send(&setup.bid("k1"), "100").await.whole();
        let mut ahead = setup.bid("k1");
        ahead.config_version = 9;
        assert_eq!(setup.send(&ahead, "100").await.whole(), first);
        let cancelled = setup.bid("k1");
        setup.cancel(&cancelled.id).await;
        let reply = setup.send(&cancelled, "100").await;
        assert!(matches!(reply, Reply::Unknown(_)), "{reply:?}");
        setup.agent.shared().gate.leave();
        assert_eq!(setup.send(&setup.bid("k1"), "100").await.whole(), first);
        let reply = setup.send(&setup.bid("k2"), "100").await;
        assert_eq!(reply.reason(), RefuseReason::Leaving);
        assert_eq!(setup.upstream.executions().len(), 1);
    });
}
