//! A one-time signal that many tasks can wait for.

use async_channel::{Receiver, Sender};

/// Waits for the signal. Clones wait for the same one.
#[derive(Debug, Clone)]
pub struct Shutdown {
    receiver: Receiver<()>,
}

/// Gives the signal, at the latest when dropped.
#[derive(Debug)]
pub struct Trigger {
    sender: Sender<()>,
}

/// Returns a signal and its trigger.
pub fn channel() -> (Trigger, Shutdown) {
    let (sender, receiver) = async_channel::bounded(1);
    (Trigger { sender }, Shutdown { receiver })
}

impl Trigger {
    /// Wakes each task that waits.
    pub fn fire(&self) {
        self.sender.close();
    }
}

impl Shutdown {
    /// Returns once the signal was given.
    pub async fn wait(&self) {
        // Nothing is ever sent: the receive ends when the channel is closed.
        let _ = self.receiver.recv().await;
    }

    /// Tells whether the signal was given.
    pub fn is_set(&self) -> bool {
        self.receiver.is_closed()
    }
}
