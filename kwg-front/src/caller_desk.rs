use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use async_channel::{Receiver, Sender, TrySendError, bounded};
use kwg_flow::{CallerKey, CallerReply, TrafficInput};
use kwg_http::SocketStream;

/// The callers of one traffic thread that wait for replies.
#[derive(Debug)]
pub struct CallerDesk {
    inputs: Sender<TrafficInput>,
    backlog: usize,
    next_key: Cell<u64>,
    callers: RefCell<HashMap<CallerKey, CallerEntry>>,
}

#[derive(Debug)]
struct CallerEntry {
    replies: Sender<CallerReply>,
    socket: SocketStream,
}

/// One caller: its key, its replies, and the guard that says when it has gone.
#[derive(Debug)]
pub struct CallerSession {
    /// The key under which the core knows the caller.
    pub key: CallerKey,
    /// What the core replies.
    pub replies: Receiver<CallerReply>,
    /// Tells the core, when dropped, that nobody reads any more.
    pub guard: CallerGuard,
}

/// Tells the traffic core that a caller has gone when it is dropped.
#[derive(Debug)]
pub struct CallerGuard {
    key: CallerKey,
    inputs: Sender<TrafficInput>,
}

impl CallerDesk {
    /// A desk whose callers talk to the core behind `inputs`; at most `backlog` replies wait
    /// for a slow one.
    #[must_use]
    pub fn new(inputs: Sender<TrafficInput>, backlog: usize) -> Self {
        Self { inputs, backlog, next_key: Cell::new(0), callers: RefCell::default() }
    }

    /// The way to the core.
    #[must_use]
    pub fn inputs(&self) -> &Sender<TrafficInput> {
        &self.inputs
    }

    /// Opens a session for a caller on this connection.
    #[must_use]
    pub fn open(&self, socket: SocketStream) -> CallerSession {
        self.next_key.set(self.next_key.get() + 1);
        let key = CallerKey(self.next_key.get());
        let (sender, replies) = bounded(self.backlog);
        self.callers.borrow_mut().insert(key, CallerEntry { replies: sender, socket });
        CallerSession { key, replies, guard: CallerGuard { key, inputs: self.inputs.clone() } }
    }

    /// Passes a reply on; `false` if the caller was too slow and has been cut off. It can
    /// resume its answer.
    pub fn reply(&self, caller: CallerKey, reply: CallerReply) -> bool {
        let mut callers = self.callers.borrow_mut();
        let Some(entry) = callers.get(&caller) else { return true };
        let is_last = reply.is_last();
        let is_slow = match entry.replies.try_send(reply) {
            Ok(()) => false,
            Err(TrySendError::Full(_)) => {
                entry.socket.shutdown();
                true
            }
            Err(TrySendError::Closed(_)) => false,
        };
        if is_last || is_slow || entry.replies.is_closed() {
            callers.remove(&caller);
        }
        !is_slow
    }

    /// How many callers wait for replies.
    #[must_use]
    pub fn len(&self) -> usize {
        self.callers.borrow().len()
    }

    /// Whether no caller waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.callers.borrow().is_empty()
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        // The core stops an unread answer after a while, so a full pipe loses nothing.
        drop(self.inputs.try_send(TrafficInput::CallerGone { caller: self.key }));
    }
}
