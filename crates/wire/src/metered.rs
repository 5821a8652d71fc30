//! A connection whose reads and writes are noted by a limiter, and that closes without a reset.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use smol::net::TcpStream;

use crate::limits::Slot;

/// Time for which a closing connection discards what its client still sends. The kernel resets a connection
/// that is closed with unread bytes, and the client might lose the response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes discarded by one read, and by one poll.
const DISCARD_BYTES: usize = 8 * 1024;
const MAX_DISCARDS: usize = 8;

/// A stream of a server's connection.
#[derive(Debug)]
pub(crate) struct Metered {
    stream: TcpStream,
    slot: Slot,
    /// Ends the discarding of input, once it has begun.
    linger: Option<smol::Timer>,
}

impl Metered {
    pub(crate) fn new(stream: TcpStream, slot: Slot) -> Self {
        Metered { stream, slot, linger: None }
    }

    /// Discards input until the client closes the connection or the time is up.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let timer = self.linger.get_or_insert_with(|| smol::Timer::after(LINGER_TIME));
        if timer.poll(context).is_ready() {
            return Poll::Ready(());
        }
        let mut discarded = [0; DISCARD_BYTES];
        for _ in 0..MAX_DISCARDS {
            match Pin::new(&mut self.stream).poll_read(context, &mut discarded) {
                Poll::Ready(Ok(1..)) => {}
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(count @ 1..)) = read {
            this.slot.note_received(count);
        }
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        match written {
            Poll::Ready(Ok(1..)) => this.slot.note_sent(),
            Poll::Pending => this.slot.note_blocked(),
            Poll::Ready(_) => {}
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let flushed = Pin::new(&mut this.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            this.slot.note_flushed();
        }
        flushed
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.linger.is_none() {
            match Pin::new(&mut this.stream).poll_close(context) {
                Poll::Ready(Ok(())) if this.slot.is_unread() => this.slot.note_closing(),
                other => return other,
            }
        }
        this.poll_discard(context).map(Ok)
    }
}
