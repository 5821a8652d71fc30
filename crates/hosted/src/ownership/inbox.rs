//! The owner's inbox: accepted jobs and cancellations in the store.

use std::time::Duration;

use peridotfold_core::flow::owner::Owner;
use peridotfold_core::time::Time;
use peridotfold_wire::runtime;

use super::{Ownership, RETRY_DELAY};
use crate::owner_service::{self, OwnerService};
use crate::ports::{Item, Revision, Store};
use crate::records::{self, InboxKey, Lock};
use crate::subscription::{Source, Subscription};

/// Long-poll timeout of a watch; bounds the time for which a dead connection goes unnoticed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

impl<S: Store> Ownership<S> {
    /// Watches the inbox and passes jobs and cancellations to the owner, until another process
    /// claims the ownership.
    pub(super) async fn watch(&self, service: &OwnerService, as_of: Revision) {
        let mut inbox = Subscription::new(records::INBOX_PREFIX, WATCH_TIMEOUT, Some(as_of));
        loop {
            let received = inbox.next(&self.store).await;
            self.note_call(&received);
            match received {
                Ok(update) => {
                    let known_at = owner_service::unix_seconds_at(update.as_of);
                    metrics::gauge!("inbox_confirmed_timestamp_seconds").set(known_at);
                    if update.source == Source::Read {
                        tracing::info!(event = "inbox_read_again", items = update.items.len());
                    }
                    if self.is_superseded(&update.items) {
                        return;
                    }
                    if !update.items.is_empty() {
                        service.update(|owner, now| {
                            update.items.iter().for_each(|item| self.apply(owner, now, item));
                        });
                    }
                }
                Err(error) => {
                    let age_ms = inbox.age().map(|age| age.as_millis() as u64);
                    tracing::warn!(event = "inbox_not_read", age_ms, %error);
                    runtime::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Tells whether inbox items contain the lock of another process.
    fn is_superseded(&self, items: &[Item]) -> bool {
        let lock = items.iter().rfind(|item| item.key == records::LOCK);
        match lock.map(|item| records::decode::<Lock>(&item.value)) {
            Some(Ok(lock)) if lock.boot != self.identity.boot => {
                tracing::warn!(event = "ownership_lost", reason = "another lock", node = lock.node);
                true
            }
            Some(Err(error)) => {
                tracing::error!(event = "lock_unreadable", %error);
                false
            }
            _ => false,
        }
    }

    /// Passes a job or cancellation from the inbox to the owner. Skips what cannot be read.
    fn apply(&self, owner: &mut Owner, now: Time, item: &Item) {
        match records::inbox_key(&item.key) {
            Some(InboxKey::Job(job)) => match records::decode_job(&item.value) {
                Ok(spec) => owner.submit(now, job, spec),
                Err(error) => self.skip(&item.key, &error),
            },
            Some(InboxKey::Cancel(job)) => owner.cancel(now, job),
            Some(InboxKey::Lock) => {}
            None => self.skip_key(&item.key),
        }
    }
}
