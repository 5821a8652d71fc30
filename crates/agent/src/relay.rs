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
const FEED_AFTER: Duration = Duration::from_secs(1);
/// Silence after which the last chunk of a feed is taken to be complete.
const CHUNK_QUIET: Duration = Duration::from_millis(200);
/// Time within which a feed that is being closed has to come to the end of a chunk or line, and
/// the entry has to take what was sent.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// Time within which the entry has to take a part of a finite response, once the agent drains and
/// the grace period is over. Without a bound a stalled caller would hold up the stop for ever.
const STALL_LIMIT: Duration = Duration::from_secs(10);
/// Time allowed for the body of an answer to a request with a key. Such a request is not given up
/// when its entry goes, so nothing else ends the wait for an upstream that stopped halfway.
const KEPT_LIMIT: Duration = Duration::from_secs(60);

/// A response body that was kept.
pub enum Kept {
    Whole(Bytes),
    TooLarge,
}

enum Event {
    Data(Bytes),
    End,
    Cut,
    /// Time to look at the clock and the signals.
    Check,
}

/// Passes one response body on.
pub struct Relay<'a> {
    body: PooledBody,
    sink: &'a mut FrameSender,
    permit: &'a Permit,
    close_feeds: &'a Shutdown,
    /// Ends the relay when a cancellation does; `None` when the request has to go on.
    aborted: Option<Shutdown>,
    endless: bool,
    feed_at: Time,
    is_feed: bool,
    /// When the feed has to be closed; `None` while it need not.
    close_by: Option<Time>,
    at_line_end: bool,
}

impl<'a> Relay<'a> {
    /// Builds the relay of a response whose head was sent.
    pub fn new(
        body: PooledBody,
        sink: &'a mut FrameSender,
        permit: &'a Permit,
        close_feeds: &'a Shutdown,
        aborted: Option<Shutdown>,
    ) -> Self {
        Relay {
            endless: body.size_hint().exact().is_none(),
            body,
            sink,
            permit,
            close_feeds,
            aborted,
            feed_at: runtime::now() + FEED_AFTER,
            is_feed: false,
            close_by: None,
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
                Event::Cut => return None,
                Event::Check if self.close_by.is_some() => return Some(()),
                Event::Check => {}
            }
        }
    }

    /// Passes the body on while the entry takes it, and reads it to its end in any case. Returns
    /// `None` when it was cut or took longer than [`KEPT_LIMIT`].
    pub async fn run_kept(self, reachable: bool) -> Option<Kept> {
        future::or(self.keep(reachable), async {
            runtime::sleep(KEPT_LIMIT).await;
            None
        })
        .await
    }

    async fn keep(mut self, mut reachable: bool) -> Option<Kept> {
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
        Some(kept.map_or(Kept::TooLarge, |kept| Kept::Whole(kept.freeze())))
    }

    /// Updates what depends on the clock and the signals. Tells whether the feed can be closed.
    fn check(&mut self) -> bool {
        let now = runtime::now();
        if self.endless && !self.is_feed && now >= self.feed_at {
            self.is_feed = true;
            self.permit.detach();
        }
        if self.is_feed && self.close_by.is_none() && self.close_feeds.is_set() {
            self.close_by = Some(now + CLOSE_LIMIT);
        }
        self.close_by.is_some_and(|limit| self.at_line_end || now >= limit)
    }

    async fn next(&mut self) -> Event {
        let until_feed = self.feed_at.saturating_sub(runtime::now());
        let closing = self.close_by.is_some();
        let aborted = wait_aborted(self.aborted.clone());
        let frame = async {
            loop {
                match self.body.frame().await {
                    None => return Event::End,
                    Some(Err(_)) => return Event::Cut,
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(part) => return Event::Data(part),
                        Err(_trailers) => continue,
                    },
                }
            }
        };
        let gone = async {
            future::or(self.sink.closed(), aborted).await;
            Event::Cut
        };
        let timer = async {
            match () {
                () if closing => runtime::sleep(CHUNK_QUIET).await,
                () if self.is_feed => self.close_feeds.wait().await,
                () if self.endless => runtime::sleep(until_feed).await,
                () => future::pending().await,
            }
            Event::Check
        };
        future::or(frame, future::or(gone, timer)).await
    }

    /// Sends one part. Gives the slot back when the entry is slow to take it, and gives up when it
    /// does not take it while the agent drains.
    async fn send(&mut self, part: Bytes) -> Option<()> {
        if part.is_empty() {
            return Some(());
        }
        self.at_line_end = part.ends_with(b"\n");
        let stall_limit = if self.endless { CLOSE_LIMIT } else { STALL_LIMIT };
        let aborted = wait_aborted(self.aborted.clone());
        let stuck = async {
            self.close_feeds.wait().await;
            runtime::sleep(stall_limit).await;
        };
        let slow = async {
            runtime::sleep(FEED_AFTER).await;
            self.permit.detach();
            future::pending().await
        };
        let given_up = async {
            future::or(aborted, future::or(stuck, slow)).await;
            None
        };
        let frame = BodyFrame::Data(part);
        let sent = async { self.sink.send(&frame).await.ok() };
        future::or(sent, given_up).await
    }
}

async fn wait_aborted(aborted: Option<Shutdown>) {
    match aborted {
        Some(aborted) => aborted.wait().await,
        None => future::pending().await,
    }
}
