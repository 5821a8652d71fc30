//! Relaying a response body from the upstream to the entry.
//!
//! A response of unknown length that lasts longer than [`STREAM_AFTER`] counts as a streaming
//! response. It releases its admission slot, and is closed after the grace period of a drain.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use peridotfold_core::key_table::ANSWER_LIMIT;
use peridotfold_core::message::request::BodyFrame;
use peridotfold_core::time::Time;
use peridotfold_wire::http_client::PooledBody;
use peridotfold_wire::peer::FrameSender;
use peridotfold_wire::runtime;
use peridotfold_wire::shutdown::Shutdown;

use crate::gate::Permit;

/// Time after which a response of unknown length counts as a streaming response, and after which a
/// response that the entry is slow to receive releases its slot.
const STREAM_AFTER: Duration = Duration::from_secs(1);
/// Time without data after which the last chunk of a streaming response counts as complete.
const CHUNK_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time within which a streaming response that is being closed must reach the end of a chunk or
/// line, and the entry must accept the data sent.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which the entry must accept a part of a response of known length after the grace
/// period of a drain. Without this limit a stalled caller would block the drain forever.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of the response body of a request with an idempotency key. Such a request continues when
/// its entry disconnects, so nothing else ends the wait for an upstream that stopped halfway.
const KEPT_TIMEOUT: Duration = Duration::from_secs(60);

/// A response body that was read to its end.
pub enum KeptBody {
    Whole(Bytes),
    /// Not kept, for example because it exceeds [`ANSWER_LIMIT`].
    TooLarge,
}

/// What ended the wait for the next part of the body.
enum Event {
    Data(Bytes),
    End,
    /// The upstream or the entry failed, or the request was aborted.
    Truncated,
    /// A timer or the signal to close streams fired, so the relay must check its state.
    Check,
}

/// Relays one response body.
pub struct Relay<'a> {
    body: PooledBody,
    sink: &'a mut FrameSender,
    permit: &'a Permit,
    /// Set when streaming responses must be closed.
    close_streams: &'a Shutdown,
    /// Set when the request is cancelled; `None` if it must continue regardless.
    aborted: Option<Shutdown>,
    /// The body has no known length.
    unknown_length: bool,
    /// Time at which a body of unknown length becomes a streaming response.
    stream_at: Time,
    /// The response is a streaming response and has released its slot.
    is_stream: bool,
    /// Time by which the streaming response must be closed, once closing has started.
    close_deadline: Option<Time>,
    /// The last part sent ended with a newline, so the response may be closed here.
    at_line_end: bool,
}

impl<'a> Relay<'a> {
    /// Creates the relay of a response whose head was sent to the entry.
    pub fn new(
        body: PooledBody,
        sink: &'a mut FrameSender,
        permit: &'a Permit,
        close_streams: &'a Shutdown,
        aborted: Option<Shutdown>,
    ) -> Self {
        Relay {
            unknown_length: body.size_hint().exact().is_none(),
            body,
            sink,
            permit,
            close_streams,
            aborted,
            stream_at: runtime::now() + STREAM_AFTER,
            is_stream: false,
            close_deadline: None,
            at_line_end: true,
        }
    }

    /// Relays the body. Returns `None` if it was truncated.
    pub async fn run(mut self) -> Option<()> {
        loop {
            if self.check() {
                return Some(());
            }
            match self.next().await {
                Event::Data(part) => self.send(part).await?,
                Event::End => return Some(()),
                Event::Truncated => return None,
                Event::Check if self.close_deadline.is_some() => return Some(()),
                Event::Check => {}
            }
        }
    }

    /// Reads the body to its end, and relays it as long as the entry accepts it. `reachable` tells
    /// whether the entry accepted the head. Returns `None` if the body was truncated or took longer
    /// than [`KEPT_TIMEOUT`].
    pub async fn run_kept(self, reachable: bool) -> Option<KeptBody> {
        future::or(self.relay_and_keep(reachable), async {
            runtime::sleep(KEPT_TIMEOUT).await;
            None
        })
        .await
    }

    /// Implements [`Relay::run_kept`] without the timeout.
    async fn relay_and_keep(mut self, mut reachable: bool) -> Option<KeptBody> {
        let mut kept = Some(BytesMut::new());
        loop {
            match self.body.frame().await {
                None => break,
                Some(Err(_)) => return None,
                Some(Ok(frame)) => {
                    let Ok(part) = frame.into_data() else { continue };
                    kept = kept.filter(|kept| kept.len() + part.len() <= ANSWER_LIMIT);
                    if let Some(kept) = &mut kept {
                        kept.extend_from_slice(&part);
                    }
                    reachable = reachable && self.send(part).await.is_some();
                }
            }
        }
        Some(kept.map_or(KeptBody::TooLarge, |kept| KeptBody::Whole(kept.freeze())))
    }

    /// Updates the state from the clock and the close signal: detaches a response that has become a
    /// stream and starts to close it. Tells whether the response may be closed now.
    fn check(&mut self) -> bool {
        let now = runtime::now();
        if self.unknown_length && !self.is_stream && now >= self.stream_at {
            self.is_stream = true;
            self.permit.detach();
        }
        if self.is_stream && self.close_deadline.is_none() && self.close_streams.is_set() {
            self.close_deadline = Some(now + CLOSE_TIMEOUT);
        }
        self.close_deadline.is_some_and(|limit| self.at_line_end || now >= limit)
    }

    /// Waits for the next part of the body or another event.
    async fn next(&mut self) -> Event {
        let until_stream = self.stream_at.saturating_sub(runtime::now());
        let closing = self.close_deadline.is_some();
        let aborted = wait_aborted(self.aborted.clone());
        let frame = async {
            loop {
                match self.body.frame().await {
                    None => return Event::End,
                    Some(Err(_)) => return Event::Truncated,
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(part) => return Event::Data(part),
                        Err(_trailers) => continue,
                    },
                }
            }
        };
        let entry_gone = async {
            future::or(self.sink.closed(), aborted).await;
            Event::Truncated
        };
        let timer = async {
            match () {
                () if closing => runtime::sleep(CHUNK_IDLE_TIMEOUT).await,
                () if self.is_stream => self.close_streams.wait().await,
                () if self.unknown_length => runtime::sleep(until_stream).await,
                () => future::pending().await,
            }
            Event::Check
        };
        future::or(frame, future::or(entry_gone, timer)).await
    }

    /// Sends one part. Releases the slot if the entry is slow to accept it. Returns `None` if the
    /// request is aborted, the entry disconnects or stalls while the agent drains.
    async fn send(&mut self, part: Bytes) -> Option<()> {
        if part.is_empty() {
            return Some(());
        }
        self.at_line_end = part.ends_with(b"\n");
        let stall_timeout = if self.unknown_length { CLOSE_TIMEOUT } else { STALL_TIMEOUT };
        let aborted = wait_aborted(self.aborted.clone());
        let stalled = async {
            self.close_streams.wait().await;
            runtime::sleep(stall_timeout).await;
        };
        let detach_if_slow = async {
            runtime::sleep(STREAM_AFTER).await;
            self.permit.detach();
            future::pending().await
        };
        let gave_up = async {
            future::or(aborted, future::or(stalled, detach_if_slow)).await;
            None
        };
        let frame = BodyFrame::Data(part);
        let sent = async { self.sink.send(&frame).await.ok() };
        future::or(sent, gave_up).await
    }
}

/// Waits for the signal, or forever if there is none.
async fn wait_aborted(aborted: Option<Shutdown>) {
    match aborted {
        Some(aborted) => aborted.wait().await,
        None => future::pending().await,
    }
}
