use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use async_channel::{Receiver, Sender, TrySendError, bounded};
use kwg_flow::{CallerKey, CallerReply, TrafficInput};
use kwg_http::SocketStream;

/// Registers the callers of one traffic thread that wait for replies.
#[derive(Debug)]
pub struct CallerRegistry {
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

/// A registered caller: its key, its replies, and the guard that unregisters it.
#[derive(Debug)]
pub struct CallerSession {
    /// The key that identifies the caller to the core.
    pub key: CallerKey,
    /// The replies from the core.
    pub replies: Receiver<CallerReply>,
    /// Notifies the core, when dropped, that the caller no longer reads replies.
    pub guard: CallerGuard,
}

/// Notifies the traffic core, when dropped, that a caller no longer reads replies.
#[derive(Debug)]
pub struct CallerGuard {
    key: CallerKey,
    inputs: Sender<TrafficInput>,
}

impl CallerRegistry {
    /// Creates an empty registry for the core that reads `inputs`. Up to `backlog` replies are
    /// buffered per caller.
    #[must_use]
    pub fn new(inputs: Sender<TrafficInput>, backlog: usize) -> Self {
        Self { inputs, backlog, next_key: Cell::new(0), callers: RefCell::default() }
    }

    /// Returns the input channel of the core.
    #[must_use]
    pub fn inputs(&self) -> &Sender<TrafficInput> {
        &self.inputs
    }

    /// Registers a caller for one request on a connection, under a new key.
    #[must_use]
    pub fn open(&self, socket: SocketStream) -> CallerSession {
        self.next_key.set(self.next_key.get() + 1);
        let key = CallerKey(self.next_key.get());
        let (sender, replies) = bounded(self.backlog);
        self.callers.borrow_mut().insert(key, CallerEntry { replies: sender, socket });
        CallerSession { key, replies, guard: CallerGuard { key, inputs: self.inputs.clone() } }
    }

    /// Passes a reply on to a caller.
    ///
    /// Returns `false` if the caller's buffer was full. Its connection is closed in that case, and
    /// it can resume its answer on another one.
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

    /// Returns the number of callers that wait for replies.
    #[must_use]
    pub fn len(&self) -> usize {
        self.callers.borrow().len()
    }

    /// Returns whether no caller waits for replies.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.callers.borrow().is_empty()
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        // If the channel is full the message is lost, but the core still stops an unread answer
        // after a timeout.
        drop(self.inputs.try_send(TrafficInput::CallerDisconnected { caller: self.key }));
    }
}
