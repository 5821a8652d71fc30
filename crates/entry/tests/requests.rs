//! Callers' requests through an entry to simulated agents.

#[path = "support/common.rs"]
mod support;

use std::time::Duration;

use http::Method;
use peridotfold_wire::runtime;
use support::agent::{Agent, Behaviour};
use support::{outcome, run, store, until, Entry};

/// Guards against an entry that loses parts of a request or a response, or forwards headers that it
/// must remove.
#[test]
fn requests_reach_an_upstream_and_answers_the_caller() {
    run(async {
        let store = store().await;
        let entry = Entry::configured("entry-1", &store).await;
        let agent = Agent::start("agent-1", &[entry.internal], Behaviour::default()).await;
        entry.wait_upstreams(1).await;
        let trace = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01";
        let headers = [
            ("traceparent", trace),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("x-kept", "2"),
            ("authorization", "Bearer team-token"),
        ];
        let response = entry.get("/s/closed/some/path?q=1", &headers).await.expect("an answer");
        assert_eq!(response.status(), 200);
        assert_eq!(response.body().as_ref(), b"answer");
        assert_eq!(response.headers()["x-upstream"], "yes");
        let returned = response.headers()["traceparent"].to_str().expect("text");
        assert!(returned.starts_with("00-0123456789abcdef0123456789abcdef-"));
        let head = agent.log.lock().heads[0].clone();
        assert_eq!(head.path, "/some/path?q=1");
        let has = |name: &str| head.headers.iter().any(|(n, _)| n.as_ref() == name.as_bytes());
        assert!(has("x-kept") && has("peridotfold-team"));
        assert!(!has("x-hop") && !has("connection") && !has("authorization"));

        let large = vec![7_u8; 3 * 1024 * 1024];
        let response = entry.send(Method::POST, "/s/open/echo", &[], large.clone()).await;
        let response = response.expect("an answer");
        assert_eq!(response.status(), 200);
        assert!(response.body().as_ref() == large, "the body came back changed");
        entry.stop().await;
    });
}

/// Guards against callers that use a service without its credential, and against wrong outcomes. A
/// rejected request was not run, but an earlier request with the same key may have been.
#[test]
fn requests_without_credential_are_rejected() {
    run(async {
        let store = store().await;
        let entry = Entry::configured("entry-1", &store).await;
        let wrong = [("authorization", "Bearer wrong")];
        type Headers<'a> = &'a [(&'a str, &'a str)];
        let cases: [(&str, Headers<'_>, u16); 5] = [
            ("/s/closed/x", &[], 401),
            ("/s/closed/x", &wrong, 401),
            ("/s/absent/x", &[], 404),
            ("/s/open/x", &[("request-timeout-ms", "0")], 400),
            ("/s/open/x", &[], 503),
        ];
        for (path, headers, status) in cases {
            let response = entry.get(path, headers).await.expect("an answer");
            assert_eq!(response.status(), status, "{path}");
            assert_eq!(outcome(&response), "not-run", "{path}");
        }
        // An earlier request with the same key may have run, with other headers or before a change
        // of the configuration.
        let key = ("idempotency-key", "bid-1");
        let cases: [(&str, Headers<'_>, u16); 4] = [
            ("/s/closed/x", &[key], 401),
            ("/s/closed/x", &[key, wrong[0]], 401),
            ("/s/absent/x", &[key], 404),
            ("/s/open/x", &[key, ("request-timeout-ms", "0")], 400),
        ];
        for (path, headers, status) in cases {
            let response = entry.get(path, headers).await.expect("an answer");
            assert_eq!(
                (response.status().as_u16(), outcome(&response)),
                (status, "unknown"),
                "{path}"
            );
        }
        let response = entry.get("/v1/config", &[("authorization", "Bearer team-token")]).await;
        assert_eq!(response.expect("an answer").status(), 403);
        entry.stop().await;
    });
}

/// Guards against unlimited retries: at most 1.1 dispatches per request on average
/// (section 1.7).
#[test]
fn refused_requests_are_retried_within_the_budget() {
    run(async {
        let store = store().await;
        let entry = Entry::configured("entry-1", &store).await;
        let refusing = Behaviour { refusing: true, ..Behaviour::default() };
        let one = Agent::start("agent-1", &[entry.internal], refusing).await;
        let two = Agent::start("agent-2", &[entry.internal], refusing).await;
        entry.wait_upstreams(2).await;
        const FIRST: usize = 200;
        for _ in 0..FIRST {
            let response = entry.get("/s/open/x", &[]).await.expect("an answer");
            assert_eq!(response.status(), 503);
            assert_eq!(outcome(&response), "not-run");
            assert_eq!(response.headers()["retry-after"], "2");
        }
        let tries = one.received() + two.received();
        assert!(tries > FIRST, "no request was retried");
        assert!(tries * 10 <= FIRST * 11, "{tries} tries of {FIRST} requests");
        // A request that is not idempotent is not retried after an agent has received it.
        let before = one.received() + two.received();
        for _ in 0..20 {
            entry.send(Method::POST, "/s/open/x", &[], "bid").await.expect("an answer");
        }
        assert_eq!(one.received() + two.received(), before + 20);
        entry.stop().await;
    });
}

/// Guards against responses after the deadline, and against the outcome `not-run` without proof
/// from the agent.
#[test]
fn the_deadline_ends_a_request() {
    run(async {
        let store = store().await;
        let entry = Entry::configured("entry-1", &store).await;
        for (proving, status, text) in [(false, 504, "unknown"), (true, 503, "not-run")] {
            let behaviour = Behaviour { proving, ..Behaviour::default() };
            let agent = Agent::start("agent-1", &[entry.internal], behaviour).await;
            entry.wait_upstreams(1).await;
            let begun = runtime::now();
            let headers = [("request-timeout-ms", "150")];
            let response = entry.get("/s/open/hang", &headers).await.expect("an answer");
            let elapsed = runtime::now() - begun;
            assert_eq!((response.status().as_u16(), outcome(&response)), (status, text));
            assert!(elapsed >= Duration::from_millis(150), "{elapsed:?}");
            until("the request is cancelled", || async { agent.log.lock().cancels == 1 }).await;
            drop(agent);
            entry.wait_upstreams(0).await;
        }
        entry.stop().await;
    });
}

/// Guards against a truncated response that looks complete to the caller.
#[test]
fn a_cut_response_is_seen_by_the_caller() {
    run(async {
        let store = store().await;
        let entry = Entry::configured("entry-1", &store).await;
        let _agent = Agent::start("agent-1", &[entry.internal], Behaviour::default()).await;
        entry.wait_upstreams(1).await;
        let cut = entry.get("/s/open/cut", &[]).await;
        assert!(cut.is_err(), "{cut:?}");
        entry.stop().await;
    });
}

/// Guards against a graceful stop that interrupts a request.
#[test]
fn a_stop_lets_requests_end() {
    run(async {
        let store = store().await;
        let entry = Entry::configured("entry-1", &store).await;
        let agent = Agent::start("agent-1", &[entry.internal], Behaviour::default()).await;
        entry.wait_upstreams(1).await;
        let request = entry.get("/s/open/slow", &[]);
        let stop = async {
            until("the request has begun", || async { agent.received() == 1 }).await;
            entry.begin_stop();
        };
        let (response, ()) = futures_lite::future::zip(request, stop).await;
        assert_eq!(response.expect("an answer").body().as_ref(), b"answer");
        entry.stop().await;
    });
}

/// Guards against a request that continues after its caller has closed the connection.
#[test]
fn an_abandoned_request_is_cancelled() {
    run(async {
        let store = store().await;
        let entry = Entry::configured("entry-1", &store).await;
        let agent = Agent::start("agent-1", &[entry.internal], Behaviour::default()).await;
        entry.wait_upstreams(1).await;
        let headers = [("request-timeout-ms", "20000")];
        let request = async {
            let _ = entry.get("/s/open/hang", &headers).await;
        };
        let begun = until("the request has begun", || async { agent.received() == 1 });
        // Dropping the request's future closes the caller's connection.
        futures_lite::future::or(request, begun).await;
        until("the request is cancelled", || async { agent.log.lock().cancels == 1 }).await;
        entry.stop().await;
    });
}
