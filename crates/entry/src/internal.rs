//! Internal interface: handles the messages of agents and other entries.

use std::sync::Arc;

use http::StatusCode;
use peridotfold_core::homes;
use peridotfold_core::message::announce::{Announce, AnnounceReply, Relay};
use peridotfold_core::message::entry::{
    ConfigReply, ConfigRequest, Forward, KeyListReply, KeyListRequest, Probe,
};
use peridotfold_core::message::report::Report;
use peridotfold_store::Store;
use peridotfold_wire::error::{Step, WireError};
use peridotfold_wire::peer::FrameReceiver;
use peridotfold_wire::runtime;
use peridotfold_wire::server::{Handler, Stream};
use serde::de::DeserializeOwned;

use crate::cells::CellError;
use crate::context::Context;

/// Handles the messages of agents and other entries, each by its kind.
pub struct InternalHandler<S: Store> {
    pub context: Arc<Context<S>>,
}

impl<S: Store> Handler for InternalHandler<S> {
    async fn handle(&self, stream: Stream) -> Result<(), WireError> {
        let Stream { kind, mut receiver, responder } = stream;
        match kind.as_str() {
            "announce" => match self.announce(first_message(&mut receiver).await?) {
                Some(reply) => responder.reply(&reply).await,
                None => {
                    responder.refuse(StatusCode::CONFLICT, "a newer announcement is known".into())
                }
            },
            "relay" => {
                self.record_relayed(first_message(&mut receiver).await?);
                responder.reply(&()).await
            }
            "report" => {
                let report: Report = first_message(&mut receiver).await?;
                match self.context.cells.report(report).await {
                    Ok(orders) => responder.reply(&orders).await,
                    Err(error) => responder.refuse(StatusCode::CONFLICT, refusal(&error)),
                }
            }
            "forward" => {
                let forward: Forward = first_message(&mut receiver).await?;
                match self.context.cells.forward(forward).await {
                    Ok(reply) => responder.reply(&reply).await,
                    Err(error) => responder.refuse(StatusCode::CONFLICT, refusal(&error)),
                }
            }
            "probe" => {
                let probe: Probe = first_message(&mut receiver).await?;
                let reply = self.context.keys.lock().probe(&probe.service, &probe.key);
                responder.reply(&reply).await
            }
            "keylist" => {
                let request: KeyListRequest = first_message(&mut receiver).await?;
                let reply = self.list_keys(&request);
                responder.reply(&reply).await
            }
            "config" => {
                let request: ConfigRequest = first_message(&mut receiver).await?;
                match self.context.update_since(request.version) {
                    Some(update) => responder.reply(&ConfigReply { update }).await,
                    None => {
                        let detail = "no configuration yet".into();
                        responder.refuse(StatusCode::SERVICE_UNAVAILABLE, detail)
                    }
                }
            }
            _ => {
                let peer = receiver.peer().to_owned();
                responder.refuse(StatusCode::NOT_FOUND, format!("unknown kind {kind}"))?;
                Err(WireError::new(Step::Decode, peer, format!("unknown kind {kind}")))
            }
        }
    }
}

impl<S: Store> InternalHandler<S> {
    /// Records an agent's announcement and queues it for relay. Returns `None` when a newer one is
    /// known.
    fn announce(&self, announce: Announce) -> Option<AnnounceReply> {
        let context = &self.context;
        let (version, cell) = (announce.config_version, announce.cell.clone());
        let known = announce.entries_digest;
        context.record_version(version, &announce.address);
        let now = runtime::now();
        let is_new = {
            let mut upstreams = context.upstreams.lock();
            let Announce { agent, incarnation, services, .. } = &announce;
            let known = |service| upstreams.holder(now, agent, *incarnation, service).is_some();
            let is_new = !services.iter().any(|load| known(&load.service));
            if !upstreams.announce(now, announce.clone()) {
                return None;
            }
            is_new
        };
        // The agent may replace a holder of keys, whose buckets have to move.
        if is_new {
            context.request_round();
        }
        let entries = context.entry_addresses();
        context.relays.lock().add(&context.settings.id, now, announce, &entries);
        let is_known = entries.is_empty() || homes::digest(&entries) == known;
        Some(AnnounceReply {
            entry: context.settings.id.clone(),
            entries: (!is_known).then_some(entries),
            config: context
                .update_since(version)
                .unwrap_or(peridotfold_core::message::announce::ConfigUpdate::Current),
            owner: context.cells.owner(&cell),
        })
    }
}

impl<S: Store> InternalHandler<S> {
    /// Returns a page of the keys that this entry dispatched before a move.
    fn list_keys(&self, request: &KeyListRequest) -> KeyListReply {
        let now = runtime::now();
        let mut keys = self.context.keys.lock();
        let reply = keys.list(request);
        if matches!(reply, KeyListReply::Page { more: false, .. }) {
            keys.note_copied(request);
        }
        // The sender has adopted a move that this entry does not know yet.
        if keys.map(&request.service).is_none_or(|map| map.generation < request.generation) {
            self.context.request_round();
        }
        // The sender's own list is final now. Without the early fetch, an entry that had asked for
        // it too early waited up to 2 s for its next try, and lost the list if the sender failed
        // meanwhile.
        if keys.missing(now).iter().any(|missing| missing.generation == request.generation) {
            let _ = self.context.early_fetch.0.try_send(());
        }
        reply
    }

    /// Records announcements that another entry relays, each with its age.
    fn record_relayed(&self, relay: Relay) {
        let now = runtime::now();
        let mut upstreams = self.context.upstreams.lock();
        for (announce, age) in relay.announcements {
            upstreams.announce(now.saturating_sub(age), announce);
        }
    }
}

/// Receives the first message of a stream.
async fn first_message<T: DeserializeOwned>(receiver: &mut FrameReceiver) -> Result<T, WireError> {
    match receiver.next().await? {
        Some(message) => Ok(message),
        None => Err(WireError::new(
            Step::Receive,
            receiver.peer(),
            "the stream ended before its first message",
        )),
    }
}

/// Describes the refusal of a message about a cell. Names the owner for the sender's log.
fn refusal(error: &CellError) -> String {
    match error {
        CellError::NotOwner(Some(owner)) => {
            format!("not the owner; the owner is {} at {}", owner.entry, owner.address)
        }
        CellError::NotOwner(None) => "not the owner; no owner is known".into(),
    }
}
