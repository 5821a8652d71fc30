//! Shutdown signal: given once, and awaited by any number of tasks.

use async_channel::{Receiver, Sender};

/// Receiving side of the signal. Clones receive the same signal.
#[derive(Debug, Clone)]
pub struct Shutdown {
    receiver: Receiver<()>,
}

/// Sending side of the signal. Dropping the trigger also gives the signal.
#[derive(Debug)]
pub struct Trigger {
    sender: Sender<()>,
}

/// Returns the two sides of a new signal.
pub fn channel() -> (Trigger, Shutdown) {
    let (sender, receiver) = async_channel::bounded(1);
    (Trigger { sender }, Shutdown { receiver })
}

impl Trigger {
    /// Gives the signal and wakes all waiting tasks.
    pub fn fire(&self) {
        self.sender.close();
    }
}

impl Shutdown {
    /// Waits until the signal is given.
    pub async fn wait(&self) {
        // No message is ever sent: the call returns when the channel is closed.
        let _ = self.receiver.recv().await;
    }

    /// Tells whether the signal was given.
    pub fn is_set(&self) -> bool {
        self.receiver.is_closed()
    }
}
