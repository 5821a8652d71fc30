//! Distribution of the configuration by entries.

#[path = "support/common.rs"]
mod support;

use http::Method;
use peridotfold_standins::store::{Faults, Mode};
use support::agent::{Agent, Behaviour};
use support::{run, store, until, Entry};

const PATCH: &str = r#"{"services":{"open":{"timeout_ms":1000}}}"#;

async fn version(entry: &Entry) -> String {
    let response = entry.operator(Method::GET, "/v1/config", "").await;
    let header = response.headers().get("peridotfold-config-version");
    header.map_or("none", |value| value.to_str().unwrap_or("?")).to_owned()
}

/// Guards against accepting patches of an outdated version or invalid documents, and against
/// versions that do not reach the other entries.
#[test]
fn patches_are_checked_and_reach_all_entries() {
    run(async {
        let store = store().await;
        let one = Entry::configured("entry-1", &store).await;
        let two = Entry::start("entry-2", store.address(), Vec::new()).await;
        two.wait_ready().await;
        let accepted = two.operator(Method::PATCH, "/v1/config?base=1", PATCH).await;
        assert_eq!(accepted.status(), 200);
        until("both have it", || async {
            version(&one).await == "2" && version(&two).await == "2"
        })
        .await;
        let stale = one.operator(Method::PATCH, "/v1/config?base=1", PATCH).await;
        assert_eq!(stale.status(), 409);
        let wrong = r#"{"services":{"open":{"slots":"many"}}}"#;
        let invalid = one.operator(Method::PATCH, "/v1/config?base=2", wrong).await;
        assert_eq!(invalid.status(), 422);
        let missing = one.operator(Method::PATCH, "/v1/config", PATCH).await;
        assert_eq!(missing.status(), 400);
        let old = one.operator(Method::GET, "/v1/config/1", "").await;
        assert_eq!(old.status(), 200);
        assert_eq!(one.operator(Method::GET, "/v1/config/9", "").await.status(), 404);
        one.stop().await;
        two.stop().await;
    });
}

/// Guards against a store outage during which requests fail, patches are accepted, or a new entry
/// does not get the configuration from the other entries.
#[test]
fn requests_go_on_while_the_store_is_down() {
    run(async {
        let store = store().await;
        let one = Entry::configured("entry-1", &store).await;
        let _agent = Agent::start("agent-1", &[one.internal], Behaviour::default()).await;
        one.wait_upstreams(1).await;
        store.set_faults(Faults { mode: Mode::Refuse, ..Faults::default() });
        let two = Entry::start("entry-2", store.address(), vec![one.internal]).await;
        two.wait_ready().await;
        assert_eq!(version(&two).await, "1");
        let response = one.get("/s/open/x", &[]).await.expect("an answer");
        assert_eq!(response.status(), 200);
        let refused = one.operator(Method::PATCH, "/v1/config?base=1", PATCH).await;
        assert!([503, 504].contains(&refused.status().as_u16()), "{}", refused.status());
        store.set_faults(Faults::default());
        until("a patch is accepted", || async {
            let path = format!("/v1/config?base={}", version(&one).await);
            one.operator(Method::PATCH, &path, PATCH).await.status() == 200
        })
        .await;
        let current = version(&one).await;
        until("the new entry has it", || async { version(&two).await == current }).await;
        one.stop().await;
        two.stop().await;
    });
}

/// Guards against a new entry that sends agents an empty list of entries before it has read the
/// list from the store. The agents would stop announcing themselves to the other entries.
#[test]
fn an_entry_without_the_list_names_no_entries() {
    run(async {
        let store = store().await;
        store.set_faults(Faults { mode: Mode::Refuse, ..Faults::default() });
        let entry = Entry::start("entry-1", store.address(), Vec::new()).await;
        assert!(entry.announce_to().await.entries.is_none());
        store.set_faults(Faults::default());
        until("the entry has read the list", || async {
            let entries = entry.announce_to().await.entries.unwrap_or_default();
            entries.len() == 1 && entries[0].entry == "entry-1"
        })
        .await;
        entry.stop().await;
    });
}
