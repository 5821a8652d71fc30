//! Receiving the body of a request from an entry.

use std::time::Duration;

use futures_lite::future;
use peridotfold_core::message::request::BodyFrame;
use peridotfold_wire::error::WireError;
use peridotfold_wire::peer::FrameReceiver;
use peridotfold_wire::runtime;

/// Time for which the rest of an unused body is read.
const DISCARD_LIMIT: Duration = Duration::from_secs(1);

/// Receives the request body. On drop, a task reads and discards the rest: `h2` resets a stream
/// whose response ends before the request, and the entry would see a send error instead of the
/// response.
#[derive(Debug)]
pub struct RequestBody {
    receiver: Option<FrameReceiver>,
}

impl RequestBody {
    /// Creates the body from a receiver whose request head was read.
    pub fn new(receiver: FrameReceiver) -> Self {
        RequestBody { receiver: Some(receiver) }
    }

    /// Returns the next frame, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Same as [`FrameReceiver::next`].
    pub async fn next(&mut self) -> Result<Option<BodyFrame>, WireError> {
        match &mut self.receiver {
            Some(receiver) => receiver.next().await,
            None => Ok(None),
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        let discard = async move { while let Ok(Some(_)) = receiver.next::<BodyFrame>().await {} };
        runtime::spawn(future::or(discard, runtime::sleep(DISCARD_LIMIT))).detach();
    }
}
