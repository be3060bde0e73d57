use async_channel::{Receiver, Sender, bounded};
use kwg_model::MonoTime;

/// What the feeds of the two tables tell each other of replies that have not come: connections to the store may
/// have gone silent, and a long poll does not show that before its end.
#[derive(Debug)]
pub(crate) struct FeedAlarm {
    raised: Sender<MonoTime>,
    heard: Receiver<MonoTime>,
}

impl FeedAlarm {
    /// The ends of two feeds.
    pub(crate) fn pair() -> (Self, Self) {
        let ((to_one, by_one), (to_other, by_other)) = (bounded(1), bounded(1));
        (Self { raised: to_other, heard: by_one }, Self { raised: to_one, heard: by_other })
    }

    /// Tells the other feed that no reply has come to a call, which was due at `due`. It may not listen, since
    /// it makes no long poll.
    pub(crate) fn raise(&self, due: MonoTime) {
        if self.raised.try_send(due).is_err() {
            log::debug!("event=feed-already-alarmed");
        }
    }

    /// Waits until the other feed has got no reply to a call; returns when that was due.
    pub(crate) async fn wait(&self) -> MonoTime {
        match self.heard.recv().await {
            Ok(due) => due,
            Err(_) => std::future::pending().await,
        }
    }
}
