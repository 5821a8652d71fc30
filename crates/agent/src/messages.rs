//! Handler of the messages that entries send to this agent.

use std::sync::Arc;

use http::StatusCode;
use peridotfold_core::message::entry::{
    ConfigReply, ConfigRequest, KeyTableReply, KeyTableRequest,
};
use peridotfold_core::message::request::Cancel;
use peridotfold_wire::error::WireError;
use peridotfold_wire::server::{Handler, Stream};

use crate::request;
use crate::shared::Shared;

/// Handles the message streams of entries.
#[derive(Debug)]
pub struct MessageHandler {
    shared: Arc<Shared>,
}

impl MessageHandler {
    /// Creates a handler on the agent's state.
    pub fn new(shared: Arc<Shared>) -> Self {
        MessageHandler { shared }
    }

    /// Cancels a request.
    async fn cancel(&self, mut stream: Stream) -> Result<(), WireError> {
        match stream.receiver.next::<Cancel>().await? {
            Some(cancel) => stream.responder.reply(&self.shared.gate.cancel(&cancel.id)).await,
            None => stream
                .responder
                .refuse(StatusCode::BAD_REQUEST, "the stream contains no message".into()),
        }
    }
}

impl MessageHandler {
    /// Returns a page of the key table to a restarted entry.
    async fn key_table(&self, mut stream: Stream) -> Result<(), WireError> {
        match stream.receiver.next::<KeyTableRequest>().await? {
            Some(request) if request.agent_incarnation == self.shared.incarnation => {
                stream.responder.reply(&self.shared.keys.read_page(&request)).await
            }
            Some(_) => stream.responder.reply(&KeyTableReply::Restarted).await,
            None => stream
                .responder
                .refuse(StatusCode::BAD_REQUEST, "the stream contains no message".into()),
        }
    }

    /// Returns the configuration to an entry with an older version, such as one that was
    /// partitioned and knows no other entry.
    async fn config(&self, mut stream: Stream) -> Result<(), WireError> {
        match stream.receiver.next::<ConfigRequest>().await? {
            Some(request) => {
                let update = self.shared.view.update_since(request.version);
                stream.responder.reply(&ConfigReply { update }).await
            }
            None => stream
                .responder
                .refuse(StatusCode::BAD_REQUEST, "the stream contains no message".into()),
        }
    }
}

impl Handler for MessageHandler {
    async fn handle(&self, stream: Stream) -> Result<(), WireError> {
        match stream.kind.as_str() {
            "request" => request::serve(&self.shared, stream).await,
            "cancel" => self.cancel(stream).await,
            "config" => self.config(stream).await,
            "keytable" => self.key_table(stream).await,
            kind => {
                let detail = format!("unknown message kind {kind}");
                stream.responder.refuse(StatusCode::NOT_FOUND, detail)
            }
        }
    }
}
