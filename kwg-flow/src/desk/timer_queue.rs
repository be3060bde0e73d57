use std::collections::BTreeSet;

use kwg_model::{MonoTime, TicketKey};

/// What a timer is for. A timer whose cause has gone does nothing when it fires.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKey {
    /// Send a claim again, or give it up.
    Claim(u64),
    /// Send a burning again, or give it up.
    Burn(u64),
    /// Give up on tickets asked of another core.
    Mint(u64),
    /// Check that a joined answer makes progress.
    Join(TicketKey),
    /// Try again to resume a stream.
    Resume(TicketKey),
    /// Stop an answer that nobody reads.
    Orphan(TicketKey),
    /// Send handed-over ledgers again, or give up.
    HandOver,
}

/// The timers of a core, earliest first.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue(BTreeSet<(MonoTime, TimerKey)>);

impl TimerQueue {
    pub(crate) fn set(&mut self, at: MonoTime, key: TimerKey) {
        self.0.insert((at, key));
    }

    /// Takes the next timer that is due.
    pub(crate) fn pop_due(&mut self, now: MonoTime) -> Option<TimerKey> {
        let due = self.0.first().is_some_and(|(at, _)| *at <= now);
        if due { self.0.pop_first().map(|(_, key)| key) } else { None }
    }

    /// When the next timer is due.
    pub(crate) fn next(&self) -> Option<MonoTime> {
        self.0.first().map(|(at, _)| *at)
    }
}
