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

/// State that the tasks of an agent share. Lock order: view, gate; the others are never
/// held together.
#[derive(Debug)]
pub struct Shared {
    pub settings: Settings,
    pub incarnation: Incarnation,
    /// Address for messages, with the port that is in use.
    pub address: SocketAddr,
    pub view: ClusterView,
    pub gate: Gate,
    pub keys: Keys,
    pub upstream: Upstream,
    /// Connections to entries for anything but announcements.
    pub peers: Arc<Peers>,
    /// The agent takes no new requests.
    pub leaving: Shutdown,
    /// Responses without a known end are closed.
    pub close_streams: Shutdown,
}

impl Shared {
    /// Builds the state of an agent that listens on `address`.
    pub fn new(
        settings: Settings,
        address: SocketAddr,
        leaving: Shutdown,
        close_streams: Shutdown,
    ) -> Self {
        // Nothing is admitted before the configuration sets the limits.
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

    /// Takes the answer to an announcement.
    pub fn apply_reply(&self, reply: AnnounceReply) {
        self.view.apply_reply(reply);
    }

    /// Returns why a request is not meant for this process, if it is not.
    pub fn target_mismatch(&self, head: &RequestHead) -> Option<RefuseReason> {
        match () {
            () if head.agent_incarnation != self.incarnation => {
                Some(RefuseReason::WrongIncarnation)
            }
            () if head.service != self.settings.service => Some(RefuseReason::UnknownService),
            () => None,
        }
    }

    /// Returns why the configuration does not allow a request to run, if it does not. Fetches the
    /// configuration first when the agent is behind the entry.
    pub async fn config_refusal(&self, head: &RequestHead) -> Option<RefuseReason> {
        self.view.require_config(head.config_version, &head.id.entry, &self.peers).await.err()
    }
}
