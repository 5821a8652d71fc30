//! Recovery of an agent's key table by a restarted entry.

use bytes::Bytes;
use peridotfold_agent::idempotency::{KeyDecision, Keys};
use peridotfold_core::message::entry::{KeyTableReply, KeyTableRequest};

fn decide(keys: &Keys, key: &'static str, incarnation: u64) -> KeyDecision {
    keys.decide(&Bytes::from_static(key.as_bytes()), &"entry-1".to_owned(), incarnation)
}

/// Guards against a delayed request from an ended incarnation of an entry that runs after its
/// successor has read the key table. The successor would treat the key as never dispatched, and
/// the key could run twice.
#[test]
fn requests_of_an_ended_entry_are_refused_once_the_table_was_read() {
    let keys = Keys::default();
    let run = decide(&keys, "one", 1);
    assert!(matches!(run, KeyDecision::Run(_)), "{run:?}");
    let request =
        KeyTableRequest { agent_incarnation: 1, entry: "entry-1".into(), ended: 1, after: None };
    let KeyTableReply::Page { keys: page, more } = keys.read_page(&request) else {
        panic!("the table was not read");
    };
    assert_eq!((page.len(), page[0].running, more), (1, true, false));
    let late = decide(&keys, "two", 1);
    assert!(matches!(late, KeyDecision::Ended), "{late:?}");
    let next = decide(&keys, "two", 2);
    assert!(matches!(next, KeyDecision::Run(_)), "{next:?}");
    let known = decide(&keys, "one", 2);
    assert!(matches!(known, KeyDecision::Join(_)), "{known:?}");
}
