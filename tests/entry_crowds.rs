//! Clients that do not behave, at an entry that is configured by flags.

#[path = "support/common.rs"]
mod support;

use std::time::Duration;

use http::Method;
use peridotfold_soak::crowd::{Crowd, Sending, LARGE};
use peridotfold_soak::usage::{larger, until_idle, usage_of, Usage};
use peridotfold_standins::launch::{EntryPlan, Launcher};
use peridotfold_standins::store::{Options, Store};
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;
use support::{digest, run, OPERATOR_TOKEN, PROGRAM};

/// Lowered limits of the entry.
const FLAGS: [&str; 4] = ["--caller-connections", "200", "--caller-memory-mb", "16"];
/// Bounds: the limits of the flags, and twice as much memory for the process itself.
const MAX_MEMORY_BYTES: u64 = 48_000_000;
const MAX_DESCRIPTORS: usize = 200 + 100;
const CLIENTS: usize = 400;
/// Time for the clients to send, and for the entry to read it.
const CROWD_TIME: Duration = Duration::from_secs(20);
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Returns the request of one client: all but the end of a large configuration patch.
fn unfinished_patch(index: usize) -> Sending {
    let length = match index.is_multiple_of(2) {
        true => format!("Content-Length: {LARGE}"),
        false => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!(
        "PATCH /v1/config?base=0 HTTP/1.1\r\nHost: entry\r\n\
         Authorization: Bearer {OPERATOR_TOKEN}\r\n{length}\r\n\r\n"
    );
    let chunk = [&b"ea60\r\n"[..], &[b' '; 60_000], b"\r\n"].concat();
    let part = if index.is_multiple_of(2) { vec![b' '; 60_000] } else { chunk };
    Sending::Repeated { first: head.into(), part: part.into(), count: 4 }
}

/// Guards against an entry that holds what any number of clients send, within its configured memory or not.
#[test]
fn an_entry_with_flags_withstands_unfinished_patches() {
    run(async {
        let store = Store::start(Options::default()).await.expect("a store");
        let dir = tempfile::tempdir().expect("a directory");
        let any_port = ([127, 0, 0, 1], 0).into();
        let plan = EntryPlan {
            name: "entry-1",
            http: any_port,
            internal: any_port,
            advertise: None,
            store: store.address(),
            peers: &[],
            operator_digest: &digest(OPERATOR_TOKEN),
            flags: &FLAGS,
        };
        let logs = dir.path().to_owned();
        let launcher = Launcher { program: PROGRAM.into(), logs, limit: CALL_LIMIT };
        let entry = launcher.entry(&plan).expect("the entry listens");
        let crowd = Crowd::start(entry.http, CLIENTS, unfinished_patch);
        let mut peak = Usage::default();
        let arriving = async {
            while !crowd.is_sent() {
                peak = larger(peak, usage_of(entry.id()).expect("the process lives"));
                runtime::sleep(Duration::from_millis(20)).await;
            }
            until_idle(entry.id()).await;
            Ok(())
        };
        // Clients that the entry does not read from go on sending.
        let _ = runtime::timeout(CROWD_TIME, "crowd", arriving).await;
        peak = larger(peak, usage_of(entry.id()).expect("the process lives"));
        let answers = async || {
            let client = HttpClient::default();
            let answer = client.simple(entry.http, Method::GET, "/metrics", "", CALL_LIMIT).await;
            assert_eq!(answer.expect("an answer").status(), 200);
        };
        answers().await;
        peak = larger(peak, usage_of(entry.id()).expect("the process lives"));
        drop(crowd);
        answers().await;
        assert!(peak.memory_bytes <= MAX_MEMORY_BYTES, "{peak:?}");
        assert!(peak.descriptors <= MAX_DESCRIPTORS, "{peak:?}");
    });
}
