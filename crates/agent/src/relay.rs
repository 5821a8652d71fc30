//! Passing a response body from the upstream to the entry.

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

/// Time after which a response of unknown length counts as a feed and gives its slot back.
const STREAM_AFTER: Duration = Duration::from_secs(1);
/// Silence after which the last chunk of a feed is taken to be complete.
const CHUNK_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time within which a feed that is being closed has to come to the end of a chunk or line, and
/// the entry has to take what was sent.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which the entry has to take a part of a finite response, once the agent drains and
/// the grace period is over. Without a bound a stalled caller would hold up the stop for ever.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time allowed for the body of an answer to a request with a key. Such a request is not given up
/// when its entry goes, so nothing else ends the wait for an upstream that stopped halfway.
const KEPT_TIMEOUT: Duration = Duration::from_secs(60);

/// A response body that was kept.
pub enum KeptBody {
    Whole(Bytes),
    TooLarge,
}

enum Event {
    Data(Bytes),
    End,
    Truncated,
    /// Time to look at the clock and the signals.
    Check,
}

/// Passes one response body on.
pub struct Relay<'a> {
    body: PooledBody,
    sink: &'a mut FrameSender,
    permit: &'a Permit,
    close_streams: &'a Shutdown,
    /// Ends the relay when a cancellation does; `None` when the request has to go on.
    aborted: Option<Shutdown>,
    unknown_length: bool,
    stream_at: Time,
    is_stream: bool,
    /// When the feed has to be closed; `None` while it need not.
    close_deadline: Option<Time>,
    at_line_end: bool,
}

impl<'a> Relay<'a> {
    /// Builds the relay of a response whose head was sent.
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

    /// Passes the body on. Returns `None` when it was cut.
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

    /// Passes the body on while the entry takes it, and reads it to its end in any case. Returns
    /// `None` when it was cut or took longer than [`KEPT_LIMIT`].
    pub async fn run_kept(self, reachable: bool) -> Option<KeptBody> {
        future::or(self.relay_and_keep(reachable), async {
            runtime::sleep(KEPT_TIMEOUT).await;
            None
        })
        .await
    }

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

    /// Updates what depends on the clock and the signals. Tells whether the feed can be closed.
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

    /// Sends one part. Gives the slot back when the entry is slow to take it, and gives up when it
    /// does not take it while the agent drains.
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

async fn wait_aborted(aborted: Option<Shutdown>) {
    match aborted {
        Some(aborted) => aborted.wait().await,
        None => future::pending().await,
    }
}
