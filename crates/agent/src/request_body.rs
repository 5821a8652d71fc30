//! The request body of a stream.

use std::time::Duration;

use futures_lite::future;
use peridotfold_core::message::request::BodyFrame;
use peridotfold_wire::error::WireError;
use peridotfold_wire::peer::FrameReceiver;
use peridotfold_wire::runtime;

/// Time for which a body that is not wanted is read.
const DISCARD_LIMIT: Duration = Duration::from_secs(1);

/// Receives the request body. The rest is read and discarded when it is dropped: `h2` resets a
/// stream whose answer ends before the request did, and the entry would see a failure to send
/// instead of the answer.
#[derive(Debug)]
pub struct RequestBody {
    receiver: Option<FrameReceiver>,
}

impl RequestBody {
    /// Builds the body that follows the head of a request.
    pub fn new(receiver: FrameReceiver) -> Self {
        RequestBody { receiver: Some(receiver) }
    }

    /// Returns the next frame, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// As [`FrameReceiver::next`].
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
