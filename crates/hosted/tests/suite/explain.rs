//! Explanations of placements over loopback connections.

use std::time::Duration;

use peridotfold_core::flow::explain::{ExplainJob, ExplainReply};
use peridotfold_hosted::explain::ask;
use peridotfold_hosted::records::{self, Lock};
use peridotfold_wire::runtime;

use crate::ownership::{start, wait_for_owner};
use crate::support::{spec, MemoryStore};

/// Guards against an owner that does not answer operators, answers for jobs and queues that do not exist,
/// or places on a queue that the configuration does not have.
#[test]
fn the_owner_answers_operators_and_limits_them() {
    smol::block_on(async {
        let store = MemoryStore::default();
        let entry = start("first", &store);
        assert!(wait_for_owner(&store, "first").await);
        let owner = records::decode::<Lock>(&store.peek(records::LOCK).unwrap()).unwrap().address;
        let known = ExplainJob::Known(9);
        let mut reply = ask(owner, &known).await.unwrap();
        // The entry becomes the owner shortly after it has written the lock.
        while matches!(reply, ExplainReply::Redirect { .. } | ExplainReply::Unsettled) {
            runtime::sleep(Duration::from_millis(50)).await;
            reply = ask(owner, &known).await.unwrap();
        }
        assert_eq!(reply, ExplainReply::UnknownJob);
        let new = ExplainJob::New(Box::new(spec()));
        assert_eq!(ask(owner, &new).await.unwrap(), ExplainReply::UnknownQueue("q".to_owned()));
        let mut replies = Vec::new();
        for _ in 0..3 {
            replies.push(ask(owner, &known).await.unwrap());
        }
        assert!(replies.contains(&ExplainReply::Busy), "{replies:?}");
        drop(entry);
    });
}
