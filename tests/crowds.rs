//! Clients that do not behave, at real processes with lowered limits. Each test checks only what does not depend
//! on the machine's speed: the process lives, its memory and descriptors stay within its settings, and an ordinary
//! request is answered beside the crowd and after it.

#[path = "support/crowd.rs"]
mod crowd;

use std::net::SocketAddr;
use std::time::Duration;

use crowd::{post, response_to, slowly, within, Machine, Node, Role};
use http::StatusCode;
use peridotfold_soak::crowd::{head, job, Crowd, Sending, LARGE, LARGE_HEAD};
use peridotfold_soak::usage::{larger, Usage};
use peridotfold_wire::runtime;

const THREADS: usize = 2;
/// A machine whose memory the crowds of the tests would exceed.
const SMALL_MEMORY: Machine = Machine { memory_mb: 64, descriptors: 4_100, grace_s: 20 };
/// A machine whose descriptors the crowds of the tests would use up.
const FEW_DESCRIPTORS: Machine = Machine { memory_mb: 260, descriptors: 500, grace_s: 20 };
/// A machine with little of both.
const SMALL: Machine = Machine { memory_mb: 64, descriptors: 500, grace_s: 20 };

/// Plays a crowd at an entry of its own.
fn withstands(machine: Machine, clients: usize, send: impl Fn(usize) -> Sending) {
    runtime::run(THREADS, async {
        Node::entry(machine).await.withstands(clients, send).await;
    });
}

/// Guards against memory that grows with the number of large bodies that stop just short of their end.
#[test]
fn large_bodies_sent_whole() {
    withstands(SMALL_MEMORY, 400, |_| Sending::unfinished(LARGE, LARGE));
}

/// Guards against memory that grows with the number of large bodies that arrive in pieces and stop short.
#[test]
fn large_bodies_sent_in_pieces() {
    withstands(SMALL_MEMORY, 400, |_| Sending::unfinished(LARGE, 8_000));
}

/// Guards against memory that grows with the number of chunked bodies in large chunks without a last one.
#[test]
fn chunked_bodies_in_large_chunks() {
    withstands(SMALL_MEMORY, 400, |_| Sending::chunked(4, 60_000));
}

/// Guards against a body in chunks of one byte that takes many times its size in memory.
#[test]
fn chunked_bodies_in_chunks_of_one_byte() {
    withstands(SMALL_MEMORY, 30, |_| Sending::chunked(200_000, 1));
}

/// Guards against an entry that holds connections for bodies which are announced, and not sent.
#[test]
fn bodies_announced_and_not_sent() {
    withstands(SMALL, 800, |_| Sending::announced(LARGE));
}

/// Guards against memory that bodies far over the limit take, sent without an announced length.
#[test]
fn bodies_far_over_the_limit() {
    withstands(SMALL_MEMORY, 60, |_| Sending::chunked(100, 60_000));
}

/// Guards against memory that grows with the number of request heads without an end.
#[test]
fn heads_without_an_end() {
    withstands(SMALL_MEMORY, 850, |_| Sending::endless_head(LARGE_HEAD));
}

/// Guards against heads that go on byte by byte, so that they always make progress, and leave no memory to others.
#[test]
fn heads_that_go_on_byte_by_byte() {
    withstands(SMALL_MEMORY, 850, |_| Sending::dripping_head(LARGE_HEAD));
}

/// Guards against callers' connections that take the descriptors which the entry needs itself.
#[test]
fn connections_that_send_nothing() {
    withstands(FEW_DESCRIPTORS, 800, |_| Sending::nothing());
}

/// Guards against large bodies on more connections than the entry has descriptors.
#[test]
fn more_large_bodies_than_descriptors() {
    withstands(SMALL, 800, |_| Sending::unfinished(LARGE, LARGE));
}

/// Guards against memory held for clients that send request after request and read no response.
#[test]
fn whole_requests_whose_responses_are_not_read() {
    withstands(SMALL_MEMORY, 300, |_| Sending::requests(LARGE, 4));
}

/// Guards against a crowd that mixes all of these at once.
#[test]
fn crowds_of_all_kinds_at_once() {
    withstands(SMALL, 800, |index| match index % 6 {
        0 => Sending::unfinished(LARGE, LARGE),
        1 => Sending::chunked(4, 60_000),
        2 => Sending::endless_head(LARGE_HEAD),
        3 => Sending::nothing(),
        4 => Sending::announced(LARGE),
        _ => Sending::requests(LARGE, 2),
    });
}

/// Guards against a body over the limit that is announced and refused only after it was read: the client here
/// sends nothing of it.
#[test]
fn an_announced_length_over_the_limit_is_refused_before_it_is_sent() {
    runtime::run(THREADS, async {
        let entry = Node::entry(SMALL_MEMORY).await;
        let start = head("Content-Length: 1000000000");
        let answer = response_to(entry.clients, &start).await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer:?}");
        assert!(answer.to_lowercase().contains("connection: close"), "{answer:?}");
    });
}

/// Guards against a refusal that is lost because the connection is reset while the client still sends.
#[test]
fn the_refusal_of_a_body_over_the_limit_reaches_a_client_that_goes_on_sending() {
    runtime::run(THREADS, async {
        let entry = Node::entry(SMALL_MEMORY).await;
        let chunk = [&b"ea60\r\n"[..], &[b' '; 60_000], b"\r\n"].concat();
        let mut bytes = head("Transfer-Encoding: chunked").to_vec();
        // Four times the limit.
        (0..35).for_each(|_| bytes.extend_from_slice(&chunk));
        for _ in 0..10 {
            let answer = response_to(entry.clients, &bytes).await;
            assert!(answer.starts_with("HTTP/1.1 413 "), "{answer:?}");
        }
    });
}

/// Guards against limits that a caller meets alone: the largest body, and a slow one, are served in calm.
#[test]
fn the_largest_and_the_slowest_request_are_served_in_calm() {
    runtime::run(THREADS, async {
        let entry = Node::entry(SMALL_MEMORY).await;
        // The limit of the platform's configuration.
        assert_eq!(post(entry.clients, job(262_144)).await, Some(StatusCode::OK));
        let body = job(0);
        let mut stream = smol::net::TcpStream::connect(entry.clients).await.expect("a connection");
        let start = head(&format!("Content-Length: {}", body.len()));
        let text = slowly(&mut stream, &[&start[..], &body[..]].concat()).await;
        assert!(text.starts_with("HTTP/1.1 200 "), "{text:?}");
    });
}

/// Guards against a shutdown that waits for clients which never finish their requests.
#[test]
fn a_shutdown_ends_beside_unfinished_bodies() {
    runtime::run(THREADS, async {
        let entry = Node::entry(SMALL_MEMORY).await;
        let crowd = Crowd::start(entry.clients, 40, |index| match index % 4 {
            0 => Sending::unfinished(LARGE, LARGE),
            1 => Sending::endless_head(4_000),
            2 => Sending::nothing(),
            _ => Sending::requests(LARGE, 40),
        });
        entry.observe(&crowd).await;
        entry.process.terminate();
        let stopped = async {
            while !entry.process.has_stopped() {
                runtime::sleep(Duration::from_millis(50)).await;
            }
        };
        let grace = Duration::from_secs(SMALL_MEMORY.grace_s);
        assert!(within(grace, stopped).await.is_some(), "not stopped within its grace period");
    });
}

/// Guards against a reload of the settings that fails or ends the process beside a crowd.
#[test]
fn a_reload_beside_a_crowd_changes_nothing() {
    runtime::run(THREADS, async {
        let entry = Node::entry(SMALL).await;
        let crowd = Crowd::start(entry.clients, 800, |_| Sending::unfinished(LARGE, LARGE));
        entry.process.signal("HUP");
        let (peak, beside) = entry.observe(&crowd).await;
        entry.process.signal("HUP");
        drop(crowd);
        entry.check_served(beside, "an ordinary job beside the crowd");
        entry.check_served(entry.request().await, "an ordinary job after the crowd");
        entry.check_bounds(entry.peak(peak));
        let reloads = entry.log().iter().filter(|line| line.contains("event=reload ")).count();
        assert_eq!(reloads, 2);
    });
}

/// Plays a crowd and checks that the log has a line for each cause and interval, and the usual ones.
fn logs_few_lines(address: impl Fn(&Node) -> SocketAddr, send: impl Fn(usize) -> Sending) {
    runtime::run(THREADS, async {
        let entry = Node::entry(SMALL).await;
        let before = entry.log().len();
        let crowd = Crowd::start(address(&entry), 400, send);
        entry.observe(&crowd).await;
        drop(crowd);
        entry.request().await;
        let lines = entry.log();
        let count = lines.len() - before;
        assert!(count < 100, "{count} lines: {:#?}", &lines[before..]);
    });
}

/// Guards against a log that grows with the number of refused clients.
#[test]
fn refused_clients_have_no_log_line_each() {
    let send = |index: usize| match index.is_multiple_of(2) {
        true => Sending::chunked(12, 60_000),
        false => Sending::unfinished(LARGE, LARGE),
    };
    logs_few_lines(|entry| entry.clients, send);
}

/// Guards against a log that grows with the number of whole requests that are no jobs.
#[test]
fn malformed_jobs_have_no_log_line_each() {
    let request = [&head("Content-Length: 6")[..], &b"no job"[..]].concat();
    let request = bytes::Bytes::from(request);
    logs_few_lines(|entry| entry.clients, |_| Sending::Parts(vec![request.clone()]));
}

/// Guards against a log that grows with the number of clients of the internal port that send no greeting.
#[test]
fn clients_without_a_greeting_have_no_log_line_each() {
    let garbage = bytes::Bytes::from_static(&[0xff; 64]);
    logs_few_lines(|entry| entry.internal, |_| Sending::Parts(vec![garbage.clone()]));
}

/// Guards against limits whose use and refusals no metric shows.
#[test]
fn the_metrics_show_what_clients_hold_and_what_was_refused() {
    runtime::run(THREADS, async {
        let entry = Node::entry(SMALL).await;
        let crowd = Crowd::start(entry.clients, 200, |_| Sending::unfinished(LARGE, LARGE));
        entry.observe(&crowd).await;
        let text = entry.text(entry.metrics, "/metrics").await;
        let value = |name: &str| -> f64 {
            let line = text.lines().find(|line| line.starts_with(name));
            let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
            value.unwrap_or_else(|| panic!("no {name}: {text}"))
        };
        assert!(value("client_connections{listener=\"callers\"}") > 0.0);
        assert!(value("client_memory_bytes{listener=\"callers\"}") > LARGE as f64);
        assert!(value("client_connections{listener=\"metrics\"}") >= 1.0);
        assert!(value("clients_refused{listener=\"callers\",cause=\"connections\"}") > 0.0);
    });
}

/// Guards against crowds at the other listeners of an entry: readiness, metrics, and the internal port.
#[test]
fn other_listeners_withstand_a_crowd() {
    runtime::run(THREADS, async {
        let entry = Node::entry(FEW_DESCRIPTORS).await;
        let mut peak = Usage::default();
        for address in [entry.readiness, entry.metrics, entry.internal] {
            let crowd = Crowd::start(address, 850, |index| match index % 3 {
                0 => Sending::nothing(),
                1 => Sending::endless_head(LARGE_HEAD),
                _ => Sending::unfinished(LARGE, LARGE),
            });
            let (usage, beside) = entry.observe(&crowd).await;
            peak = larger(peak, usage);
            entry.check_served(beside, &format!("an ordinary job beside a crowd at {address}"));
            let ready = entry.get(entry.readiness, "/ready").await;
            assert_eq!(ready, Some(StatusCode::OK), "readiness beside a crowd at {address}");
            drop(crowd);
            entry.check_served(entry.request().await, &format!("a job after a crowd at {address}"));
        }
        entry.check_bounds(peak);
    });
}

/// Guards against greetings at the internal port that announce large frames and stop just short of their end.
#[test]
fn large_greetings_that_stop_short() {
    runtime::run(THREADS, async {
        let entry = Node::entry(SMALL_MEMORY).await;
        let frame = [&1_000_000_u32.to_le_bytes()[..], &[0; 999_000]].concat();
        let frame = bytes::Bytes::from(frame);
        let send = |_| Sending::Parts(vec![frame.clone()]);
        let crowd = Crowd::start(entry.internal, 150, send);
        let (peak, beside) = entry.observe(&crowd).await;
        drop(crowd);
        entry.check_bounds(entry.peak(peak));
        entry.check_served(beside, "an ordinary request beside the crowd");
        entry.check_served(entry.request().await, "an ordinary request after the crowd");
    });
}

/// Guards against crowds at the listener for the reports of an agent's worker.
#[test]
fn an_agent_withstands_a_crowd() {
    runtime::run(THREADS, async {
        let agent = Node::start(Role::Agent, SMALL).await;
        let report = "PUT /minions/i-1 HTTP/1.1\r\nHost: agent\r\nContent-Length: 60000\r\n\r\n";
        let report = [report.as_bytes(), &[b' '; 59_000]].concat();
        let send = |index| match index % 3 {
            0 => Sending::nothing(),
            1 => Sending::endless_head(LARGE_HEAD),
            _ => Sending::Parts(vec![report.clone().into()]),
        };
        agent.withstands(850, send).await;
    });
}
