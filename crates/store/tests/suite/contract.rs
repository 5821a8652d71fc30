//! Contract tests of the store's protocol, run with the HTTP client against the stand-in store.
//! They guard against a client or a stand-in that violates the properties on which the journal
//! depends.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use peridotfold_standins::store::{Faults, Mode};
use peridotfold_store::{HttpStore, PutOutcome, Store, MAX_VALUE_BYTES};
use peridotfold_wire::error::Step;
use peridotfold_wire::http_client::HttpClient;
use peridotfold_wire::runtime;

use crate::{eventually, run, start, TIMEOUT};

/// Returns a string as a value.
fn text(value: &str) -> Bytes {
    Bytes::copy_from_slice(value.as_bytes())
}

/// Writes a value, which must succeed, and returns its version.
async fn put_written<S: Store>(store: &S, key: &str, expect: u64, value: &str) -> u64 {
    match store.put(key, expect, text(value)).await.unwrap() {
        PutOutcome::Written(version) => version,
        PutOutcome::Conflict(found) => panic!("{key}: expected {expect}, found {found}"),
    }
}

#[test]
fn a_write_succeeds_only_on_the_expected_version() {
    run(async {
        let (_stand_in, store) = start().await;
        assert_eq!(store.get("a/b").await.unwrap(), None);
        assert_eq!(store.put("a/b", 7, text("x")).await.unwrap(), PutOutcome::Conflict(0));
        let first = put_written(&store, "a/b", 0, "x").await;
        assert_eq!(store.put("a/b", 0, text("y")).await.unwrap(), PutOutcome::Conflict(first));
        let second = put_written(&store, "a/b", first, "y").await;
        assert!(second > first);
        assert_eq!(store.put("a/b", first, text("z")).await.unwrap(), PutOutcome::Conflict(second));
        let found = store.get("a/b").await.unwrap().unwrap();
        assert_eq!((found.version, found.value), (second, text("y")));
        store.delete("a/b").await.unwrap();
        store.delete("a/b").await.unwrap();
        assert_eq!(store.get("a/b").await.unwrap(), None);
        // Versions continue after a deletion, so that a writer that was paused meanwhile cannot
        // mistake the new value for the old one.
        let third = put_written(&store, "a/b", 0, "new").await;
        assert!(third > second);
        assert_eq!(store.put("a/b", second, text("z")).await.unwrap(), PutOutcome::Conflict(third));
    });
}

#[test]
fn values_are_kept_byte_for_byte_up_to_the_limit() {
    run(async {
        let (stand_in, store) = start().await;
        let mut random = fastrand::Rng::with_seed(1);
        let value: Vec<u8> = (0..MAX_VALUE_BYTES).map(|_| random.u8(..)).collect();
        for (key, length) in [("empty", 0), ("one", 1), ("full", MAX_VALUE_BYTES)] {
            let value = Bytes::copy_from_slice(&value[..length]);
            store.put(key, 0, value.clone()).await.unwrap();
            assert_eq!(store.get(key).await.unwrap().unwrap().value, value);
        }
        let error = store.put("over", 0, vec![0; MAX_VALUE_BYTES + 1].into()).await.unwrap_err();
        assert!(error.is_not_sent());
        // The stand-in also rejects an oversized value that the client did not check.
        let client = HttpClient::default();
        let path = "/kv/over?expect=0";
        let body = vec![0; MAX_VALUE_BYTES + 1];
        let response = client.simple(stand_in.address(), Method::PUT, path, body, TIMEOUT).await;
        assert_eq!(response.unwrap().status(), StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(store.get("over").await.unwrap(), None);
        assert!(store.get("with space").await.unwrap_err().is_not_sent());
        assert!(store.put("key?expect=0", 0, Bytes::new()).await.unwrap_err().is_not_sent());
    });
}

#[test]
fn a_list_holds_the_keys_with_the_prefix_in_order() {
    run(async {
        let (_stand_in, store) = start().await;
        assert_eq!(store.list("entries/").await.unwrap(), Vec::new());
        for key in ["entries/b", "entries/a", "entries", "entriesx", "entry/c", "zone"] {
            put_written(&store, key, 0, &format!("value\n of {key}")).await;
        }
        let found = store.list("entries/").await.unwrap();
        let pairs: Vec<_> = found.iter().map(|(k, v)| (k.as_str(), v.value.clone())).collect();
        let expected = [
            ("entries/a", text("value\n of entries/a")),
            ("entries/b", text("value\n of entries/b")),
        ];
        assert_eq!(pairs, expected);
        assert_eq!(Some(&found[0].1), store.get("entries/a").await.unwrap().as_ref());
    });
}

#[test]
fn a_watch_reports_a_later_version_and_ends_without_one() {
    run(async {
        let (stand_in, store) = start().await;
        let wait = Duration::from_millis(30);
        assert_eq!(store.watch("key", 0, wait).await.unwrap(), None);
        let first = put_written(&store, "key", 0, "x").await;
        assert_eq!(store.watch("key", 0, TIMEOUT).await.unwrap().unwrap().version, first);
        let before = runtime::now();
        assert_eq!(store.watch("key", first, wait).await.unwrap(), None);
        assert!(runtime::now() - before >= wait);
        let watch = runtime::spawn({
            let store = store.clone();
            async move { store.watch("key", first, TIMEOUT).await }
        });
        eventually("the watch waits", || stand_in.stats().watches_waiting == 1).await;
        put_written(&store, "other", 0, "x").await;
        let second = put_written(&store, "key", first, "y").await;
        let found = watch.await.unwrap().unwrap();
        assert_eq!((found.version, found.value), (second, text("y")));
        let abandoned = runtime::spawn({
            let store = store.clone();
            async move { store.watch("key", second, TIMEOUT).await }
        });
        eventually("the watch waits", || stand_in.stats().watches_waiting == 1).await;
        abandoned.cancel().await;
        eventually("the watch has ended", || stand_in.stats().watches_waiting == 0).await;
    });
}

#[test]
fn keys_vanish_with_their_lease() {
    run(async {
        let (stand_in, store) = start().await;
        let client = HttpClient::default();
        let call = |method: Method, path: String| {
            let (client, address) = (client.clone(), stand_in.address());
            async move {
                let response = client.simple(address, method, &path, "x", TIMEOUT).await.unwrap();
                let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
                (response.status(), body)
            }
        };
        let (_, long) = call(Method::POST, "/lease?ttl_ms=60000".into()).await;
        let (_, short) = call(Method::POST, "/lease?ttl_ms=50".into()).await;
        let (long, short) = (&long["lease"], &short["lease"]);
        call(Method::PUT, format!("/kv/long?expect=0&lease={long}")).await;
        call(Method::PUT, format!("/kv/short?expect=0&lease={short}")).await;
        eventually("the key has vanished", || stand_in.peek("short").is_none()).await;
        assert!(store.get("long").await.unwrap().is_some());
        let (status, _) = call(Method::POST, format!("/lease/{short}/renew")).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
        let (status, _) = call(Method::PUT, format!("/kv/late?expect=0&lease={short}")).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
        let (status, _) = call(Method::POST, format!("/lease/{long}/renew")).await;
        assert_eq!(status, StatusCode::OK);
        call(Method::DELETE, format!("/lease/{long}")).await;
        assert_eq!(store.get("long").await.unwrap(), None);
    });
}

#[test]
fn faults_have_the_effect_that_they_announce() {
    run(async {
        let (stand_in, store) = start().await;
        let impatient = HttpStore::new(stand_in.address(), Duration::from_millis(100));
        let set = |body: &'static str| {
            let (client, address) = (HttpClient::default(), stand_in.address());
            async move {
                let response =
                    client.simple(address, Method::POST, "/control", body, TIMEOUT).await;
                assert_eq!(response.unwrap().status(), StatusCode::OK, "{body}");
            }
        };
        set(r#"{"lose_next": 1}"#).await;
        let error = store.put("lost", 0, text("x")).await.unwrap_err();
        assert!(!error.is_not_sent(), "{error}");
        let version = store.get("lost").await.unwrap().unwrap().version;
        put_written(&store, "lost", version, "y").await;

        set(r#"{"mode": "refuse"}"#).await;
        assert!(!store.put("refused", 0, text("x")).await.unwrap_err().is_not_sent());
        assert!(store.list("").await.is_err());
        assert!(store.watch("lost", 0, TIMEOUT).await.is_err());
        set(r#"{"mode": "hang"}"#).await;
        let error = impatient.put("hung", 0, text("x")).await.unwrap_err();
        assert_eq!((error.step, error.peer), (Step::Timeout, stand_in.address().to_string()));
        let waiting = runtime::spawn({
            let store = store.clone();
            async move { store.get("lost").await }
        });
        set(r#"{"mode": "up"}"#).await;
        assert_eq!(waiting.await.unwrap().unwrap().value, text("y"));
        assert_eq!(stand_in.peek("refused"), None);

        set(r#"{"slow_ms": 60}"#).await;
        let before = runtime::now();
        store.get("lost").await.unwrap();
        assert!(runtime::now() - before >= Duration::from_millis(60));
        stand_in.set_faults(Faults { mode: Mode::Refuse, ..Faults::default() });
        let watched = runtime::now();
        assert!(store.watch("lost", u64::MAX, TIMEOUT).await.is_err());
        assert!(runtime::now() - watched < TIMEOUT);
    });
}

#[test]
fn lost_responses_follow_the_seed() {
    run(async {
        let mut runs = Vec::new();
        for _ in 0..2 {
            let (stand_in, store) = start().await;
            stand_in.set_faults(Faults { lose_probability: 0.5, ..Faults::default() });
            let mut lost = Vec::new();
            for index in 0..20 {
                lost.push(store.put(&format!("k{index}"), 0, text("x")).await.is_err());
                assert!(stand_in.peek(&format!("k{index}")).is_some());
            }
            runs.push(lost);
        }
        assert_eq!(runs[0], runs[1]);
        assert!(runs[0].contains(&true) && runs[0].contains(&false));
    });
}

#[test]
fn calls_are_counted_by_kind() {
    run(async {
        let (stand_in, store) = start().await;
        put_written(&store, "a", 0, "x").await;
        store.get("a").await.unwrap();
        store.list("").await.unwrap();
        store.watch("a", 0, TIMEOUT).await.unwrap();
        store.delete("a").await.unwrap();
        let stats = HttpClient::default()
            .simple(stand_in.address(), Method::GET, "/stats", "", TIMEOUT)
            .await
            .unwrap();
        let stats: serde_json::Value = serde_json::from_slice(stats.body()).unwrap();
        let counts = ["reads", "writes", "watches", "watches_waiting"].map(|name| &stats[name]);
        assert_eq!(counts, [2, 2, 1, 0]);
        assert!(stats["peak_writes_per_second"].as_u64() >= Some(1));
    });
}
