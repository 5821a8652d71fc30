//! Hand-over of the ownership by an owner that the store does not answer, to an entry that it
//! answers.

use std::time::Duration;

use futures_lite::future;
use peridotfold_wire::runtime;

use super::Ownership;
use crate::owner_service::OwnerService;
use crate::ports::{Store, StoreError};

/// Time without an answered call to the store after which the owner offers the ownership to an entry
/// that the store answers. Longer than one lost answer, shorter than the lease.
const HAND_OVER_DELAY: Duration = Duration::from_millis(800);
/// Interval at which an owner that the store does not answer looks for a successor.
const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(200);

impl<S: Store> Ownership<S> {
    /// Notes whether a call to the store was answered.
    pub(super) fn note_call<T>(&self, outcome: &Result<T, StoreError>) {
        let mut since = self.unanswered_since.lock();
        match outcome {
            Ok(_) => *since = None,
            Err(_) => {
                since.get_or_insert_with(runtime::now);
            }
        }
    }

    /// Returns for how long no call to the store has been answered.
    fn unanswered_for(&self) -> Duration {
        let since = *self.unanswered_since.lock();
        since.map_or(Duration::ZERO, |since| runtime::now().saturating_sub(since))
    }

    /// Hands the ownership over once the store has not answered this entry for a while but answers
    /// another one. While the store answers nobody, the owner stays: it can still start tasks until
    /// its lease ends.
    pub(super) async fn hand_over_if_cut_off(&self, service: &OwnerService) {
        loop {
            runtime::sleep(SUCCESSOR_INTERVAL).await;
            if self.unanswered_for() < HAND_OVER_DELAY {
                continue;
            }
            service.probe_entries();
            let found = future::or(service.find_successor(), async {
                runtime::sleep(SUCCESSOR_INTERVAL).await;
                None
            });
            let Some(successor) = found.await else { continue };
            // The answer may be that to an older probe, sent before the store answered again.
            let unanswered_for = self.unanswered_for();
            if unanswered_for < HAND_OVER_DELAY {
                continue;
            }
            // A write in flight keeps the lock of the state; its epoch does not change meanwhile.
            let epoch = service.read(|owner, _| owner.epoch());
            if service.hand_over(successor, epoch) {
                let unanswered_ms = unanswered_for.as_millis() as u64;
                tracing::warn!(event = "ownership_offered", %successor, epoch, unanswered_ms);
                return;
            }
        }
    }
}
