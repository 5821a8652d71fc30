//! State that the tasks of an agent share.

use std::net::SocketAddr;
use std::sync::Arc;

use peridotfold_core::admission::Limits;
use peridotfold_core::id::Incarnation;
use peridotfold_core::message::announce::AnnounceReply;
use peridotfold_core::message::request::{RefuseReason, RequestHead};
use peridotfold_wire::peer::Peers;
use peridotfold_wire::shutdown::Shutdown;

use crate::gate::Gate;
use crate::idempotency::Keys;
use crate::settings::Settings;
use crate::upstream::Upstream;
use crate::view::ClusterView;

/// State that the async tasks of an agent share. Lock order: `view`, then `gate`; no other locks
/// are held together.
#[derive(Debug)]
pub struct Shared {
    pub settings: Settings,
    pub incarnation: Incarnation,
    /// Address that the agent announces to entries for messages.
    pub address: SocketAddr,
    pub view: ClusterView,
    pub gate: Gate,
    pub keys: Keys,
    pub upstream: Upstream,
    /// Connections to entries for all calls except announcements.
    pub peers: Arc<Peers>,
    /// Set when the agent drains and accepts no new requests.
    pub leaving: Shutdown,
    /// Set when streaming responses must be closed.
    pub close_streams: Shutdown,
}

impl Shared {
    /// Creates the state of an agent that announces `address` to entries.
    pub fn new(
        settings: Settings,
        address: SocketAddr,
        leaving: Shutdown,
        close_streams: Shutdown,
    ) -> Self {
        // No request is admitted until the configuration sets the limits.
        let gate = Gate::new(Limits { slots: 0, connections: 0, queue: 0 });
        Shared {
            incarnation: fastrand::u64(1..),
            address,
            view: ClusterView::new(settings.clone(), gate.clone()),
            gate,
            keys: Keys::default(),
            upstream: Upstream::new(settings.upstream),
            peers: Arc::default(),
            settings,
            leaving,
            close_streams,
        }
    }

    /// Applies the reply to an announcement.
    pub fn apply_reply(&self, reply: AnnounceReply) {
        self.view.apply_reply(reply);
    }

    /// Returns the refusal reason if a request is meant for another process or service.
    pub fn target_mismatch(&self, head: &RequestHead) -> Option<RefuseReason> {
        match () {
            () if head.agent_incarnation != self.incarnation => {
                Some(RefuseReason::WrongIncarnation)
            }
            () if head.service != self.settings.service => Some(RefuseReason::UnknownService),
            () => None,
        }
    }

    /// Returns the refusal reason if the configuration does not allow a request to run. Fetches the
    /// configuration first if the request was routed with a newer version.
    pub async fn config_refusal(&self, head: &RequestHead) -> Option<RefuseReason> {
        self.view.require_config(head.config_version, &head.id.entry, &self.peers).await.err()
    }
}
