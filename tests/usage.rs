//! Bad input of users and peers: refused with a reason, and without effect.

#[path = "support/common.rs"]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use http::Method;
use peridotfold_wire::peer::Peers;
use serde_json::{json, Value};
use support::{command, run, within, Cluster, Output, OPERATOR_TOKEN, SERVICE, TEAM_TOKEN};

const DIGEST: &str = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";
const ENTRY: [&str; 10] = [
    "--id",
    "entry-1",
    "--data-centre",
    "dc-1",
    "--internal",
    "127.0.0.1:0",
    "--store",
    "127.0.0.1:9",
    "--operator-digest",
    DIGEST,
];
const AGENT: [&str; 18] = [
    "--id",
    "vm-1",
    "--data-centre",
    "dc-1",
    "--rack",
    "rack-1",
    "--cell",
    "cell-1",
    "--internal",
    "127.0.0.1:0",
    "--entries",
    "127.0.0.1:9",
    "--service",
    "listings",
    "--upstream",
    "127.0.0.1:9",
    "--worker",
    "127.0.0.1:9",
];
/// A process goes on serving: it answers within this time after it was sent garbage.
const STILL_SERVES: Duration = Duration::from_secs(2);

type Variables = &'static [(&'static str, &'static str)];

/// A command line that is refused: arguments, variables, texts of the message.
type Refused = (Vec<&'static str>, Variables, Vec<&'static str>);

fn with(
    command: &[&'static str],
    valid: &[&'static str],
    more: &[&'static str],
) -> Vec<&'static str> {
    [command, valid, more].concat()
}

fn refused_settings(role: &'static [&'static str]) -> Vec<Refused> {
    let is_entry = role.contains(&"entry");
    let valid: &[&str] = if is_entry { &ENTRY } else { &AGENT };
    let required: Vec<&str> = match is_entry {
        true => vec!["--id", "--data-centre", "--internal", "--store", "--operator-digest"],
        false => vec![
            "--id",
            "--data-centre",
            "--rack",
            "--cell",
            "--internal",
            "--entries",
            "--service",
            "--upstream",
            "--worker",
        ],
    };
    vec![
        (role.to_vec(), &[], required),
        (with(role, valid, &["--colour", "red"]), &[], vec!["--colour"]),
        (with(role, valid, &["--id"]), &[], vec!["--id"]),
        (with(role, valid, &["-x"]), &[], vec!["-x"]),
        (with(role, valid, &["extra"]), &[], vec!["extra"]),
        (with(role, valid, &["--id", "a/b"]), &[], vec!["--id", "a/b"]),
        (with(role, valid, &["--http", "localhost:80"]), &[], vec!["--http", "localhost:80"]),
        (with(role, valid, &["--internal", "1.2.3.4"]), &[], vec!["--internal", "1.2.3.4"]),
        (with(role, valid, &["--advertise", "1.2.3.4"]), &[], vec!["--advertise", "1.2.3.4"]),
        (with(role, valid, &["--threads", "0"]), &[], vec!["--threads"]),
        (with(role, valid, &["--log", "x=loud"]), &[], vec!["--log"]),
        (with(role, valid, &[]), &[("PERIDOTFOLD_THREADS", "many")], vec!["PERIDOTFOLD_THREADS"]),
        (with(role, valid, &[]), &[("PERIDOTFOLD_STROE", "x")], vec!["PERIDOTFOLD_STROE"]),
        (
            with(role, valid, &["--http", "x", "--threads", "y", "--colour", "z"]),
            &[("PERIDOTFOLD_LOG", "x=loud")],
            vec!["--http", "--threads", "--colour", "--log"],
        ),
    ]
}

/// Guards against bad settings that start a process, that are reported one at a time, or that are
/// reported without the name of the flag or variable.
#[test]
fn bad_settings_are_all_named_and_start_nothing() {
    let mut rows = Vec::new();
    for role in [&["entry"][..], &["agent"], &["check", "entry"], &["check", "agent"]] {
        rows.extend(refused_settings(role));
    }
    rows.extend([
        (
            with(&["entry"], &ENTRY, &["--outage-hold", "soon", "--peers", "1.2.3.4:5,x"]),
            &[][..],
            vec!["--outage-hold", "--peers"],
        ),
        (
            with(&["entry"], &ENTRY, &["--caller-connections", "0", "--caller-memory-mb", "3"]),
            &[],
            vec!["--caller-connections", "--caller-memory-mb"],
        ),
        (
            with(&["check", "entry"], &ENTRY, &["--caller-connections", "many"]),
            &[],
            vec!["--caller-connections"],
        ),
        (with(&["agent"], &AGENT, &["--drain-grace", "-1s"]), &[], vec!["--drain-grace"]),
        (vec![], &[], vec!["no command"]),
        (vec!["serve"], &[], vec!["serve"]),
        (vec!["--colour"], &[], vec!["--colour"]),
        (vec!["check"], &[], vec!["entry", "agent"]),
        (vec!["check", "store"], &[], vec!["entry", "agent"]),
        (vec!["config"], &[], vec!["show"]),
        (vec!["config", "drop"], &[], vec!["drop"]),
        (vec!["config", "show", "first"], &[], vec!["first"]),
        (vec!["config", "patch", "-"], &[], vec!["--base"]),
        (vec!["config", "patch", "--base", "-1", "-"], &[], vec!["--base"]),
        (vec!["config", "check"], &[], vec!["FILE"]),
        (vec!["job"], &[], vec!["submit"]),
        (vec!["job", "stop"], &[], vec!["stop"]),
        (vec!["job", "show"], &[], vec!["ID"]),
        (vec!["job", "cancel", "a/b"], &[], vec!["a/b"]),
        (vec!["status", "now"], &[("PERIDOTFOLD_ENTRY", "here")], vec!["now", "--entry"]),
    ]);
    for (args, variables, texts) in rows {
        let Output { code, out, err } = command(&args, variables, "");
        assert_eq!(code, Some(2), "{args:?} {variables:?}: {err}");
        assert_eq!(out, "", "{args:?} printed something");
        for text in texts {
            assert!(err.contains(text), "{args:?} {variables:?} does not name {text}: {err}");
        }
    }
}

/// Guards against a token, given in place of its digest, that shows in the message.
#[test]
fn a_malformed_digest_is_not_printed() {
    let args = [&["entry"], &ENTRY[..8], &["--operator-digest", "hunter2"]].concat();
    let Output { code, err, .. } = command(&args, &[], "");
    assert_eq!(code, Some(2), "{err}");
    assert!(err.contains("--operator-digest") && !err.contains("hunter2"), "{err}");
}

/// Guards against commands without help, and against valid settings that are refused.
#[test]
fn help_version_and_valid_settings() {
    let rows: [(&[&str], &[&str]); 8] = [
        (&["--help"], &["entry", "agent", "config", "job", "status", "check"]),
        (&["entry", "--help"], &["--operator-digest", "PERIDOTFOLD_OPERATOR_DIGEST"]),
        (&["agent", "--help"], &["--drain-grace", "PERIDOTFOLD_DRAIN_GRACE"]),
        (&["config", "--help"], &["show", "patch", "check", "--base"]),
        (&["job", "--help"], &["submit", "list", "show", "cancel"]),
        (&["status", "--help"], &["--token", "PERIDOTFOLD_TOKEN"]),
        (&["check", "--help"], &["entry", "agent"]),
        (&["--version"], &[env!("CARGO_PKG_VERSION")]),
    ];
    for (args, texts) in rows {
        let Output { code, out, err } = command(args, &[], "");
        assert_eq!((code, err.as_str()), (Some(0), ""), "{args:?}");
        assert!(texts.iter().all(|text| out.contains(text)), "{args:?}: {out}");
    }
    for args in [with(&["check", "entry"], &ENTRY, &[]), with(&["check", "agent"], &AGENT, &[])] {
        let Output { code, out, err } = command(&args, &[], "");
        assert_eq!((code, err.as_str()), (Some(0), ""), "{args:?}: {out}");
    }
}

/// Guards against an option whose variable is refused as unknown, as when a command's options are
/// left out of the list of known ones.
#[test]
fn each_variable_in_the_help_is_known() {
    for role in ["entry", "agent", "config", "job", "status"] {
        let help = command(&[role, "--help"], &[], "").out;
        let names: Vec<&str> =
            help.split("[env: ").skip(1).filter_map(|rest| rest.split([',', ']']).next()).collect();
        assert!(!names.is_empty(), "{help}");
        for name in names {
            let err = command(&["check", "entry"], &[(name, "")], "").err;
            assert!(!err.contains("unknown variable"), "{name}: {err}");
        }
    }
}

fn patches() -> Vec<(&'static str, String, Vec<&'static str>)> {
    let limit = json!({"cpu_milli": 1000, "memory_mib": 1000, "accelerators": 0});
    let closing = |start: &str, services: &[&str]| {
        json!({
            "start": start, "end": "2031-01-05T00:00:00Z", "services": services,
            "classes": ["rebuild"], "batch_limit": limit,
        })
    };
    let first = closing("2031-01-01T00:00:00Z", &[SERVICE]);
    let second = closing("2031-01-04T00:00:00Z", &[SERVICE]);
    let dangling = closing("2031-01-01T00:00:00Z", &["none"]);
    let large = json!({"cpu_milli": 99_000, "memory_mib": 1000, "accelerators": 0});
    let service = |field: &str, value: Value| json!({"services": {SERVICE: {field: value}}});
    let padding = |bytes: usize| json!({"closings": {"x".repeat(bytes): null}}).to_string();
    vec![
        ("1", "{\"services\":".to_owned(), vec!["not JSON"]),
        ("1", "[]".to_owned(), vec!["not a JSON object"]),
        ("1", padding(70_000), vec!["limit", "65536"]),
        ("1", padding(3_000_000), vec!["limit"]),
        ("0", "{}".to_owned(), vec!["outdated", "version 1 is current"]),
        ("7", "{}".to_owned(), vec!["does not exist", "version 1 is current"]),
        ("1", json!({"colours": {}, "services": 1}).to_string(), vec!["colours", "services"]),
        ("1", json!({"closings": {"end": dangling}}).to_string(), vec!["closings.end.services"]),
        ("1", service("limit", large).to_string(), vec!["services.listings.limit"]),
        ("1", service("slots", json!(-1)).to_string(), vec!["services.listings"]),
        ("1", service("slots", json!(0)).to_string(), vec!["services.listings.slots"]),
        ("1", json!({"closings": {"a": first, "b": second}}).to_string(), vec!["closings.b"]),
    ]
}

/// Guards against a bad patch that takes effect or is refused without the field's name, against
/// callers without a valid token, and against tokens in logs.
#[test]
fn bad_patches_and_tokens_change_nothing() {
    run(async {
        let cluster = Cluster::without_agents(1, 0).await;
        let address = cluster.http(0).to_string();
        let call = |args: &[&str], token: &str, input: &str| {
            let variables = [("PERIDOTFOLD_ENTRY", address.as_str()), ("PERIDOTFOLD_TOKEN", token)];
            command(args, &variables, input)
        };
        let before = call(&["config", "show"], OPERATOR_TOKEN, "");
        assert_eq!(before.code, Some(0), "{}", before.err);
        for (base, patch, texts) in patches() {
            let shown: String = patch.chars().take(200).collect();
            let output = call(&["config", "patch", "--base", base, "-"], OPERATOR_TOKEN, &patch);
            assert_eq!(output.code, Some(1), "{shown}: {}", output.err);
            for text in texts {
                assert!(output.err.contains(text), "{shown} does not name {text}: {}", output.err);
            }
            assert!(output.err.contains(&address), "{shown}: names no peer: {}", output.err);
        }
        let jobs: [&[&str]; 2] = [&["job", "show", "nowhere"], &["job", "cancel", "nowhere"]];
        within(support::PATIENCE, "the cell has an owner", || async {
            call(jobs[0], OPERATOR_TOKEN, "").err.contains("404 Not Found")
        })
        .await;
        for args in jobs {
            let output = call(args, OPERATOR_TOKEN, "");
            assert_eq!(output.code, Some(1));
            assert!(output.err.contains("no such job"), "{args:?}: {}", output.err);
        }
        let refused = [("", "401"), ("secret-of-a-stranger", "401"), (TEAM_TOKEN, "403")];
        for (token, status) in refused {
            for args in
                [&["config", "show"][..], &["status"], &["config", "patch", "--base", "1", "-"]]
            {
                let output = call(args, token, "{}");
                assert_eq!(output.code, Some(1), "{args:?}");
                assert!(output.err.contains(status), "{args:?} {token}: {}", output.err);
                assert!(token.is_empty() || !output.err.contains(token), "{}", output.err);
            }
        }
        for token in ["", "secret-of-a-stranger"] {
            let output = call(&["job", "list"], token, "");
            assert!(output.err.contains("401"), "{}", output.err);
        }
        let after = call(&["config", "show"], OPERATOR_TOKEN, "");
        assert_eq!(before.out, after.out);
        let logs = cluster.logs();
        assert!(logs.contains("config_rejected"), "{logs}");
        assert!(!logs.contains("secret-of"), "a token is in a log");
    });
}

/// Writes bytes to a process and closes, without regard to an answer.
fn write(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(Duration::from_millis(300))).expect("time limit");
    // The process may close before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

/// Guards against broken requests and messages that stop or stall an entry or an agent.
#[test]
fn garbage_does_not_stop_an_entry_or_agent() {
    run(async {
        let mut cluster = Cluster::start(1, 1).await;
        let (http, internal) = (cluster.http(0), cluster.internal(0));
        let agent = cluster.agent(0).internal().expect("address");
        let large = format!("GET /healthz HTTP/1.1\r\nx-large: {}\r\n\r\n", "x".repeat(100_000));
        let rows: [(&[u8], &[u8]); 5] = [
            (b"GET /healthz HTTP/1.1\r\nbroken header\r\n\r\n", b"HTTP/1.1 400"),
            (b"\x16\x03\x01\x00\xa5 no HTTP at all\r\n\r\n", b"HTTP/1.1 400"),
            (large.as_bytes(), b"HTTP/1.1 431"),
            (
                b"PATCH /v1/config?base=1 HTTP/1.1\r\nhost: x\r\ncontent-length: x\r\n\r\n",
                b"HTTP/1.1 400",
            ),
            (b"PATCH /v1/config?base=1 HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{", b""),
        ];
        for (bytes, expected) in rows {
            let answer = write(http, bytes);
            let shown = String::from_utf8_lossy(&answer[..answer.len().min(60)]).into_owned();
            assert!(
                answer.starts_with(expected),
                "{:?}: {shown}",
                String::from_utf8_lossy(&bytes[..40])
            );
        }
        let h2 = [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".as_slice(), &[0xff; 4096]].concat();
        for address in [internal, agent] {
            write(address, &[0xff; 4096]);
            write(address, b"GET / HTTP/1.1\r\n\r\n");
            write(address, &h2);
            let peers = Peers::default();
            let name = address.to_string();
            for kind in ["nonsense", "announce", "report", "forward", "request", "cancel", "config"]
            {
                // Five zero bytes are no complete message of any kind but `config`.
                let result: Result<u64, _> =
                    peers.call(&name, kind, &vec![0_u8; 5], Duration::from_secs(2)).await;
                match result {
                    Err(error) => assert!(error.to_string().contains(&name), "{kind}: {error}"),
                    Ok(_) => assert_eq!(kind, "config"),
                }
            }
            let large = vec![0_u8; 2 * 1024 * 1024];
            let result: Result<u64, _> =
                peers.call(&name, "announce", &large, Duration::from_secs(2)).await;
            assert!(result.is_err());
        }
        for number in 0..20 {
            let path = format!("/s/{SERVICE}/slot/{number}");
            within(STILL_SERVES, "a lookup is answered", || async {
                let sent = cluster.send(http, Method::GET, &path, TEAM_TOKEN, "").await;
                sent.is_ok_and(|response| response.status().is_success())
            })
            .await;
        }
        assert_eq!(cluster.entry_version(0).await, 1);
        assert_eq!(cluster.agent_version(0).await, 1);
    });
}
