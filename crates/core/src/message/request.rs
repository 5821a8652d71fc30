//! Caller requests on their way from an entry to an agent.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{ConfigVersion, EntryId, Incarnation, RequestNumber, ServiceId};

/// Identity of one dispatch of a request. An agent admits each at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    pub entry: EntryId,
    pub incarnation: Incarnation,
    pub number: RequestNumber,
}

/// Head of a request. Body frames ([`BodyFrame`]) follow on the same stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestHead {
    pub id: RequestId,
    /// The agent incarnation that the entry means; another one refuses.
    pub agent_incarnation: Incarnation,
    pub service: ServiceId,
    pub method: String,
    /// Path and query.
    pub path: String,
    pub headers: Vec<(Bytes, Bytes)>,
    /// Idempotency key, scoped by the caller's team.
    pub key: Option<Bytes>,
    /// Time left until the caller's deadline, when the head was sent.
    pub timeout: Duration,
    pub config_version: ConfigVersion,
    pub trace: TraceContext,
}

/// Trace identifiers carried through each hop, as in the W3C `traceparent` header.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    pub trace: u128,
    pub span: u64,
}

/// One piece of a request or response body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyFrame {
    Data(Bytes),
    /// The body is complete. A stream that ends without this frame was cut.
    End,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefuseReason {
    /// All slots and the queue are taken, or the deadline would pass in the queue.
    Overloaded,
    /// The agent is leaving.
    Leaving,
    /// The agent does not serve this service.
    UnknownService,
    /// The request named another incarnation of the agent.
    WrongIncarnation,
    /// The request was cancelled before it was started, or is a duplicate of an admitted one.
    Duplicate,
    /// The agent has no configuration yet.
    NoConfig,
    /// The upstream could not be connected; nothing was sent to it.
    UpstreamUnreachable,
    /// No live upstream is known.
    NoUpstream,
    /// The bucket of the key has no holder that may run it.
    KeyUnavailable,
    /// The deadline passed before the request was started.
    DeadlinePassed,
    /// The caller's quota is used up.
    Quota,
    /// A later incarnation of the entry has taken over what this one dispatched.
    EntryEnded,
}

/// First frame of an agent's answer to a [`RequestHead`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ResponseHead {
    /// The upstream answers; [`BodyFrame`]s follow.
    Answer { status: u16, headers: Vec<(Bytes, Bytes)>, replayed: bool },
    /// Certainly not run, and a late copy of this request id will be refused.
    NotRun { reason: RefuseReason, retry_after: Duration },
    /// May have run. It will not be run again under the same key.
    Unknown { detail: String },
}

/// Asks an agent to give up a request that was sent to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    pub id: RequestId,
}

/// Answer to [`Cancel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelReply {
    /// It was not started, and a late copy will be refused.
    NotStarted,
    /// It was started and is still running.
    Running,
    /// It was started and has ended.
    Done,
}
