//! Callers' requests that an entry dispatches to an agent, and the agent's responses.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{ConfigVersion, EntryId, Incarnation, RequestNumber, ServiceId};

/// Identity of one dispatch of a request. An agent accepts each identity at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    pub number: RequestNumber,
}

/// First frame of a request. The body follows on the same stream as [`BodyFrame`]s.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestHead {
    pub id: RequestId,
    /// Incarnation of the agent that the entry chose; any other one refuses the request.
    pub agent_incarnation: Incarnation,
    pub service: ServiceId,
    pub method: String,
    /// Path and query of the URL.
    pub path: String,
    pub headers: Vec<(Bytes, Bytes)>,
    /// Idempotency key, unique within the caller's team.
    pub key: Option<Bytes>,
    /// Time from the sending of this frame to the caller's deadline.
    pub timeout: Duration,
    pub config_version: ConfigVersion,
    pub trace: TraceContext,
}

/// Trace and span identifiers that are passed on with the request, as in the W3C `traceparent`
/// header.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    pub trace: u128,
    pub span: u64,
}

/// One piece of a request or response body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyFrame {
    Data(Bytes),
    /// The body is complete. A stream that ends without this frame was truncated.
    End,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefuseReason {
    /// All slots and the queue are full, or the deadline would pass in the queue.
    Overloaded,
    /// The agent is draining and accepts no new requests.
    Leaving,
    /// The agent does not serve the requested service.
    UnknownService,
    /// The request named another incarnation of the agent.
    WrongIncarnation,
    /// The request was cancelled before it started, or the agent has already accepted it.
    Duplicate,
    /// The agent has no configuration yet.
    NoConfig,
    /// The connection to the upstream failed; nothing was sent to it.
    UpstreamUnreachable,
    /// No live upstream is known.
    NoUpstream,
    /// No agent can run the idempotency key now: for example, its bucket (see [`crate::keys`]) is
    /// being moved, or the key table of the agent is full.
    KeyUnavailable,
    /// The deadline passed before the request started.
    DeadlinePassed,
    /// The caller's quota is exhausted.
    Quota,
    /// The request comes from an entry process that a later incarnation has replaced.
    EntryEnded,
}

/// First frame of an agent's response to a [`RequestHead`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ResponseHead {
    /// Response of the upstream, or an earlier one replayed for the same idempotency key.
    /// [`BodyFrame`]s follow.
    Answer { status: u16, headers: Vec<(Bytes, Bytes)>, replayed: bool },
    /// The request did not run, and the agent will refuse late copies with the same id.
    NotRun { reason: RefuseReason, retry_after: Duration },
    /// The request may have run. It will not run again under the same idempotency key.
    Unknown { detail: String },
}

/// Asks an agent to cancel a dispatched request that has not started.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    pub id: RequestId,
}

/// Reply to a [`Cancel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelReply {
    /// The request had not started, and the agent will refuse late copies.
    NotStarted,
    /// The request has started and is still running.
    Running,
    /// The request has started and ended.
    Done,
}
