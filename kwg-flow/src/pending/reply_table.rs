use std::collections::BTreeMap;

use kwg_model::{HomeAddress, MonoTime};

/// A message to a ticket's home that has no reply yet.
#[derive(Debug)]
pub(crate) struct PendingReply<W> {
    /// Core that the message was sent to.
    pub(crate) recipient: HomeAddress,
    /// Time at which the sender stops waiting.
    pub(crate) deadline: MonoTime,
    /// Item that waits for the reply.
    pub(crate) item: W,
}

/// Unanswered messages to homes, by attempt number.
#[derive(Debug)]
pub(crate) struct ReplyTable<W>(BTreeMap<u64, PendingReply<W>>);

impl<W> Default for ReplyTable<W> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<W> ReplyTable<W> {
    pub(crate) fn insert(&mut self, attempt: u64, pending: PendingReply<W>) {
        self.0.insert(attempt, pending);
    }

    pub(crate) fn take(&mut self, attempt: u64) -> Option<PendingReply<W>> {
        self.0.remove(&attempt)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the attempts sent to a core that matches the predicate.
    pub(crate) fn attempts_to(&self, matches: impl Fn(&HomeAddress) -> bool) -> Vec<u64> {
        let pending = self.0.iter().filter(|(_, pending)| matches(&pending.recipient));
        pending.map(|(attempt, _)| *attempt).collect()
    }
}
