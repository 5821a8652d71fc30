//! Contract tests of the interfaces of an entry. Each suite runs against a stand-in and against the
//! real processes, so that other tests cannot rely on behaviour that only the stand-in has.

#[path = "support/real_agent.rs"]
mod real_agent;
#[path = "support/common.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use peridotfold_core::message::request::{
    BodyFrame, Cancel, CancelReply, RefuseReason, RequestHead, RequestId, ResponseHead,
    TraceContext,
};
use peridotfold_standins::upstream::{answers, Behaviour as UpstreamBehaviour, Options, Upstream};
use peridotfold_wire::body::Body;
use peridotfold_wire::error::{Step, WireError};
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::peer::Peers;
use peridotfold_wire::runtime;
use support::agent::{Agent, Behaviour};
use support::{outcome, run, store, Entry};

const LIMIT: Duration = Duration::from_secs(10);

async fn upstream() -> Upstream {
    let behaviour = UpstreamBehaviour { base_ms: 0.0, jitter: 0.0, ..UpstreamBehaviour::default() };
    Upstream::start(Options { behaviour, ..Options::default() }).await.expect("the upstream starts")
}

/// Waits until the agent has the configuration, before which it announces no service.
async fn wait_served(entry: &Entry) {
    support::until("the agent serves", || async {
        entry.get("/s/open/slot/0", &[]).await.is_ok_and(|response| response.status() == 200)
    })
    .await;
}

/// Address of an upstream, or of an entry with the path prefix of the upstream's service.
struct UpstreamPath {
    address: SocketAddr,
    prefix: &'static str,
}

impl UpstreamPath {
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Response<Bytes>, WireError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.prefix))
            .header("host", "pages")
            .body(Body::full(body.to_owned()))
            .expect("the request is valid");
        HttpClient::default().exchange(self.address, request, LIMIT).await
    }
}

/// Checks what callers get from an upstream: complete answers with the right status, and an error
/// for a truncated answer.
async fn upstream_contract(upstream: &Upstream, upstream_path: UpstreamPath) {
    let padded = format!("execution 2 of bid\n{}", "x".repeat(300_000 - 19));
    let cases = [
        (Method::GET, "/slot/7?week=2", "", 200, answers::slot_body("/slot/7?week=2")),
        (Method::GET, "/feed?count=3&period_ms=1", "", 200, "feed 1\nfeed 2\nfeed 3\n".to_owned()),
        (Method::GET, "/feed?count=0", "", 200, String::new()),
        (Method::POST, "/bid", "lot 4: 100", 200, "execution 1 of lot 4: 100\n".to_owned()),
        (Method::POST, "/bid?answer_bytes=300000", "bid", 200, padded),
        (Method::GET, "/absent", "", 404, "no such page\n".to_owned()),
        (Method::DELETE, "/absent", "", 404, "no such page\n".to_owned()),
    ];
    for (method, path, body, status, expected) in cases {
        let response = upstream_path.send(method, path, body).await.expect(path);
        assert_eq!(response.status(), status, "{path}");
        assert!(response.body() == expected.as_bytes(), "{path}: {:?}", response.body());
    }
    let cut = upstream_path.send(Method::GET, "/feed?cut=2&period_ms=1", "").await;
    assert!(cut.is_err(), "a cut feed looks whole: {cut:?}");
    let failing =
        UpstreamBehaviour { fail_fraction: 1.0, base_ms: 0.0, ..UpstreamBehaviour::default() };
    upstream.set_behaviour(failing);
    let failed = upstream_path.send(Method::GET, "/slot/1", "").await.expect("an answer");
    assert_eq!(
        (failed.status().as_u16(), failed.body().as_ref()),
        (500, &b"failed as configured\n"[..])
    );
    assert_eq!(upstream.executions().len(), 2, "a bid ran twice or not at all");
}

/// Guards against a stand-in upstream that behaves differently when reached through an entry and an
/// agent.
#[test]
fn an_upstream_keeps_its_contract_alone_and_behind_an_entry() {
    run(async {
        let alone = upstream().await;
        upstream_contract(&alone, UpstreamPath { address: alone.address(), prefix: "" }).await;
        let store = store().await;
        let entry = Entry::configured("entry-1", &store).await;
        let routed = upstream().await;
        let agent = real_agent::start("agent-1", routed.address(), vec![entry.internal]).await;
        wait_served(&entry).await;
        upstream_contract(&routed, UpstreamPath { address: entry.http, prefix: "/s/open" }).await;
        agent.drain().await;
        entry.stop().await;
    });
}

fn head(number: u64, incarnation: u64) -> RequestHead {
    RequestHead {
        id: RequestId { entry: "entry-9".into(), incarnation: 1, number },
        agent_incarnation: incarnation,
        service: "open".into(),
        method: "GET".into(),
        path: "/slot/1".into(),
        headers: Vec::new(),
        key: None,
        timeout: LIMIT,
        config_version: 0,
        trace: TraceContext::default(),
    }
}

/// Sends a request with an empty body to an agent and returns the head of the response.
async fn answer_of(
    peers: &Peers,
    agent: &str,
    head: &RequestHead,
) -> Result<ResponseHead, WireError> {
    let (mut sender, pending) = peers.open(agent, "request", head).await?;
    sender.send(&BodyFrame::End).await?;
    sender.finish()?;
    let mut receiver = pending.receiver().await?;
    let answer: ResponseHead = receiver.next().await?.expect("a head");
    if let ResponseHead::Answer { .. } = answer {
        let mut last = None;
        while let Some(frame) = receiver.next::<BodyFrame>().await? {
            last = Some(frame);
        }
        assert_eq!(last, Some(BodyFrame::End), "an answer without its end");
    }
    Ok(answer)
}

/// Checks the behaviour of an agent on which entries rely.
async fn agent_contract(agent: &str, incarnation: u64) {
    let peers = Peers::default();
    let answer = answer_of(&peers, agent, &head(1, incarnation)).await.expect("an answer");
    assert!(
        matches!(answer, ResponseHead::Answer { status: 200, replayed: false, .. }),
        "{answer:?}"
    );

    // A request that arrives after its cancellation is refused.
    let late = head(2, incarnation);
    let cancel = Cancel { id: late.id.clone() };
    let reply: CancelReply = peers.call(agent, "cancel", &cancel, LIMIT).await.expect("a reply");
    assert_eq!(reply, CancelReply::NotStarted);
    let refused = answer_of(&peers, agent, &late).await.expect("an answer");
    let duplicate = RefuseReason::Duplicate;
    assert!(
        matches!(refused, ResponseHead::NotRun { reason, .. } if reason == duplicate),
        "{refused:?}"
    );

    // An error ends a single stream; the connection stays usable.
    let unknown: Result<CancelReply, _> = peers.call(agent, "absent", &cancel, LIMIT).await;
    let unknown = unknown.expect_err("a message of an unknown kind was answered");
    // The refusal may arrive before the message was sent completely.
    assert!(matches!(unknown.step, Step::Send | Step::Receive), "{unknown}");
    assert_eq!(unknown.peer, agent);
    let malformed: Result<CancelReply, _> = peers.call(agent, "cancel", &"text", LIMIT).await;
    assert_eq!(malformed.expect_err("a malformed message was answered").peer, agent);
    let answer = answer_of(&peers, agent, &head(3, incarnation)).await.expect("an answer");
    assert!(matches!(answer, ResponseHead::Answer { status: 200, .. }), "{answer:?}");
}

/// Guards against a simulated agent that accepts messages that the real agent refuses, or the
/// reverse.
#[test]
fn an_agent_keeps_its_contract_with_entries() {
    run(async {
        let store = store().await;
        let entry = Entry::configured("entry-1", &store).await;
        let behaviour = Behaviour { proving: true, ..Behaviour::default() };
        let simulated = Agent::start("agent-1", &[entry.internal], behaviour).await;
        agent_contract(&simulated.address.to_string(), simulated.incarnation).await;
        drop(simulated);
        let upstream = upstream().await;
        let agent = real_agent::start("agent-2", upstream.address(), vec![entry.internal]).await;
        wait_served(&entry).await;
        agent_contract(&agent.internal().to_string(), agent.shared().incarnation).await;
        agent.drain().await;
        entry.stop().await;
    });
}

/// Checks that each response to a caller has the right status and outcome, with simulated and real
/// agents alike.
async fn caller_contract(entry: &Entry) {
    type Headers<'a> = &'a [(&'a str, &'a str)];
    let cases: [(Method, &str, Headers<'_>, u16, &str); 7] = [
        (Method::GET, "/s/open/slot/1", &[], 200, ""),
        (Method::POST, "/s/open/bid", &[("idempotency-key", "bid-1")], 200, ""),
        (Method::POST, "/s/open/bid", &[("idempotency-key", "bid-1")], 200, ""),
        (Method::GET, "/s/absent/slot/1", &[], 404, "not-run"),
        (Method::GET, "/s/closed/slot/1", &[], 401, "not-run"),
        (Method::GET, "/s/open/slot/1", &[("request-timeout-ms", "soon")], 400, "not-run"),
        (Method::POST, "/s/open/bid", &[("idempotency-key", "")], 400, "not-run"),
    ];
    for (method, path, headers, status, text) in cases {
        let send = || entry.send(method.clone(), path, headers, "bid");
        let mut response = send().await.expect("an answer");
        // The key buckets open some seconds after the first upstream is known.
        let end = runtime::now() + support::WAIT;
        while response.status() != 200 && status == 200 && runtime::now() < end {
            let is_final = match response.status().as_u16() {
                503 => outcome(&response) == "not-run" && has_retry_after(&response),
                _ => outcome(&response) == "unknown",
            };
            assert!(is_final, "{path}: {response:?}");
            runtime::sleep(Duration::from_millis(50)).await;
            response = send().await.expect("an answer");
        }
        let got = (response.status().as_u16(), outcome(&response));
        assert_eq!(got, (status, text), "{path} {headers:?}");
        if status != 200 {
            let error: serde_json::Value =
                serde_json::from_slice(response.body()).expect("an error in JSON");
            assert!(error["error"].is_string(), "{error}");
        }
    }
}

fn has_retry_after(response: &Response<Bytes>) -> bool {
    response.headers().get("retry-after").is_some_and(|value| !value.is_empty())
}

/// Checks the contract for callers with a simulated agent.
async fn callers_of_simulated() {
    let store = store().await;
    let entry = Entry::configured("entry-1", &store).await;
    let _stand_in = Agent::start("agent-1", &[entry.internal], Behaviour::default()).await;
    entry.wait_upstreams(1).await;
    caller_contract(&entry).await;
    entry.stop().await;
}

/// Checks the contract for callers with a real agent, and that a repeated idempotency key
/// runs once.
async fn callers_of_agent() {
    let store = store().await;
    let entry = Entry::configured("entry-2", &store).await;
    let upstream = upstream().await;
    let agent = real_agent::start("agent-2", upstream.address(), vec![entry.internal]).await;
    wait_served(&entry).await;
    caller_contract(&entry).await;
    assert_eq!(upstream.executions().len(), 1, "a repeated key ran again");
    agent.drain().await;
    entry.stop().await;
}

/// Guards against outcomes that callers see only with the simulated agent, or only with the real
/// one.
#[test]
fn an_entry_keeps_its_contract_with_callers() {
    run(async {
        // Both run concurrently, since a new entry dispatches no keys for 8 s.
        futures_lite::future::zip(callers_of_simulated(), callers_of_agent()).await;
    });
}

/// Checks the status and the JSON fields of the replies on which the operators' client relies.
async fn operator_contract(entry: &Entry, other: &Entry, job: &str) {
    let version = config_version(entry).await;
    let patch = |base: u64| format!("/v1/config?base={base}");
    let submission = |id: &str, class: &str| {
        format!(
            r#"{{"id":"{id}","cell":"cell-1","class":"{class}","tasks":1,
            "need":{{"cpu_milli":100,"memory_mib":64}},"command":"run"}}"#
        )
    };
    let cell = r#"{"cells":{"cell-1":{"data_centre":"dc-1"}},
        "teams":{"red":{"quota":{"cpu_milli":1000,"memory_mib":1024,"accelerators":0}}},
        "classes":{"report":{"limit":{"cpu_milli":1000,"memory_mib":1024}}}}"#;
    let bad = r#"{"services":{"open":{"teams":["absent"]}}}"#;
    let job_path = format!("/v1/jobs/{job}");
    let cases = [
        (Method::GET, "/v1/config".to_owned(), String::new(), 200, "version"),
        (Method::GET, format!("/v1/config/{version}"), String::new(), 200, "document"),
        (Method::GET, format!("/v1/config/{}", version + 9), String::new(), 404, "error"),
        (Method::GET, "/v1/config/newest".to_owned(), String::new(), 400, "error"),
        (Method::PATCH, patch(version), bad.to_owned(), 422, "problems"),
        (Method::PATCH, patch(version), "{".to_owned(), 422, "error"),
        (Method::PATCH, patch(version + 9), "{}".to_owned(), 409, "current"),
        (Method::PATCH, "/v1/config".to_owned(), "{}".to_owned(), 400, "field"),
        (Method::PATCH, patch(version), cell.to_owned(), 200, "version"),
        (Method::PATCH, patch(version), "{}".to_owned(), 409, "author"),
        (Method::GET, "/v1/status".to_owned(), String::new(), 200, "upstreams"),
        (Method::POST, "/v1/status".to_owned(), String::new(), 405, "error"),
        (Method::POST, "/v1/jobs".to_owned(), "{".to_owned(), 422, "error"),
    ];
    for (method, path, body, status, field) in cases {
        let response = entry.operator(method.clone(), &path, body).await;
        let json: serde_json::Value =
            serde_json::from_slice(response.body()).expect("a reply in JSON");
        assert_eq!(response.status(), status, "{method} {path}: {json}");
        assert!(!json[field].is_null(), "{method} {path} has no {field}: {json}");
    }
    // Either entry may own the cell; the other one forwards job operations to it.
    for entry in [entry, other] {
        support::until("the cell has an owner", || async {
            let absent = entry.operator(Method::GET, "/v1/jobs/absent?cell=cell-1", "").await;
            absent.status() == 404
        })
        .await;
    }
    let team = [("authorization", "Bearer team-token")];
    let send = |method, path: &str, body: String| {
        let path = path.to_owned();
        async move { entry.send(method, &path, &team, body).await.expect("a reply") }
    };
    let submitted = send(Method::POST, "/v1/jobs", submission(job, "report")).await;
    assert_eq!(submitted.status(), 201, "{:?}", submitted.body());
    let again = send(Method::POST, "/v1/jobs", submission(job, "report")).await;
    assert!(again.status().is_success() || again.status() == 409, "{:?}", again.body());
    let class = send(Method::POST, "/v1/jobs", submission("job-x", "absent")).await;
    assert_eq!(class.status(), 422, "{:?}", class.body());
    for entry in [entry, other] {
        let shown = entry.send(Method::GET, &job_path, &team, "").await.expect("a reply");
        assert_eq!(shown.status(), 200, "{:?}", shown.body());
    }
    let cancelled = send(Method::DELETE, &job_path, String::new()).await;
    assert!(cancelled.status().is_success(), "{:?}", cancelled.body());
    let anonymous = entry.get(&job_path, &[]).await.expect("a reply");
    assert_eq!(anonymous.status(), 401);
    let forbidden = entry.get("/v1/status", &team).await.expect("a reply");
    assert_eq!(forbidden.status(), 403);
}

async fn config_version(entry: &Entry) -> u64 {
    let config = entry.operator(Method::GET, "/v1/config", "").await;
    let config: serde_json::Value = serde_json::from_slice(config.body()).expect("JSON");
    config["version"].as_u64().expect("a version")
}

/// Guards against replies that depend on whether the entry itself owns the job's cell.
#[test]
fn entries_keep_their_contract_with_operators() {
    run(async {
        let store = store().await;
        let one = Entry::configured("entry-1", &store).await;
        let two = Entry::start("entry-2", store.address(), vec![one.internal]).await;
        two.wait_ready().await;
        operator_contract(&one, &two, "job-1").await;
        let version = config_version(&one).await;
        support::until("the other entry has the version", || async {
            config_version(&two).await == version
        })
        .await;
        operator_contract(&two, &one, "job-2").await;
        one.stop().await;
        two.stop().await;
    });
}
