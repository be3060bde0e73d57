use std::cell::RefCell;

use async_channel::{Receiver, Sender, bounded};

/// A step of a planned stop that any number of tasks wait for. It happens once.
#[derive(Debug)]
pub(crate) struct StopSignal {
    sender: RefCell<Option<Sender<()>>>,
    receiver: Receiver<()>,
}

impl StopSignal {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender: RefCell::new(Some(sender)), receiver }
    }

    /// Ends all waits, later ones too.
    pub(crate) fn give(&self) {
        self.sender.borrow_mut().take();
    }

    /// Waits until the signal has been given.
    pub(crate) async fn wait(&self) {
        // An error means that the sender has been dropped, which is the signal.
        if self.receiver.recv().await.is_ok() {
            std::future::pending::<()>().await;
        }
    }
}
