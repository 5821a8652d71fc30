//! Requests with an idempotency key through two entries, with simulated agents.

#[path = "support/common.rs"]
mod support;

use http::Method;
use support::agent::{Agent, Behaviour};
use support::{outcome, run, store, until, Entry};

const KEY: [(&str, &str); 1] = [("idempotency-key", "bid-1")];

async fn send(entry: &Entry, key: &str) -> (u16, String) {
    let headers = [("idempotency-key", key)];
    let response = entry.send(Method::POST, "/s/open/bid", &headers, "bid").await;
    let response = response.expect("an answer");
    (response.status().as_u16(), outcome(&response).to_owned())
}

/// Guards against a key that is run by a second holder after the first has failed, through either
/// entry, and against new keys that cannot be used after a move of their bucket.
#[test]
fn a_key_is_not_run_again_after_its_holder_is_gone() {
    run(async {
        let store = store().await;
        let one = Entry::configured("entry-1", &store).await;
        let two = Entry::start("entry-2", store.address(), Vec::new()).await;
        two.wait_ready().await;
        let entries = [one.internal, two.internal];
        let first = Agent::start("agent-1", &entries, Behaviour::default()).await;
        let second = Agent::start("agent-2", &entries, Behaviour::default()).await;
        until("the key is answered", || async { send(&one, KEY[0].1).await.0 == 200 }).await;
        until("the key is answered", || async { send(&two, KEY[0].1).await.0 == 200 }).await;
        let (holder, other) = match first.received() > 0 {
            true => (first, second),
            false => (second, first),
        };
        assert_eq!(other.received(), 0, "two holders received the key");
        drop(holder);
        until("the bucket has moved", || async {
            send(&one, KEY[0].1).await.1 == "unknown" && send(&two, KEY[0].1).await.1 == "unknown"
        })
        .await;
        until("new keys are answered", || async { send(&two, "bid-2").await.0 == 200 }).await;
        // Before the moved buckets are open, the outcome is unknown because the holder has failed.
        // The outcome must stay unknown once they are open.
        for index in 0..40 {
            until("a new key is answered", || async {
                send(&one, &format!("other-{index}")).await.0 == 200
            })
            .await;
        }
        assert_eq!(send(&one, KEY[0].1).await.1, "unknown");
        assert_eq!(send(&two, KEY[0].1).await.1, "unknown");
        let again =
            other.log.lock().heads.iter().any(|head| {
                head.key.as_ref().is_some_and(|key| key.ends_with(KEY[0].1.as_bytes()))
            });
        assert!(!again, "the key reached a second holder");
        one.stop().await;
        two.stop().await;
    });
}
