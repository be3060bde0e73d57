use std::collections::BTreeSet;

use kwg_model::{MonoTime, TicketKey};

/// Purpose of a timer. A timer whose cause no longer exists has no effect when it fires.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKey {
    /// Resend a claim, or abandon it at its deadline; holds the attempt number.
    Claim(u64),
    /// Resend a revocation, or settle it at its deadline; holds the attempt number.
    Revoke(u64),
    /// Stop waiting for tickets requested from another core; holds the request number.
    Mint(u64),
    /// Check that a joined answer makes progress.
    Join(TicketKey),
    /// Retry resuming a stream.
    Resume(TicketKey),
    /// Stop an answer that has no readers.
    Orphan(TicketKey),
    /// Resend ledgers that are being handed over, or end the shutdown at its deadline.
    HandOver,
}

/// Timers of a core, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue(BTreeSet<(MonoTime, TimerKey)>);

impl TimerQueue {
    pub(crate) fn set(&mut self, at: MonoTime, key: TimerKey) {
        self.0.insert((at, key));
    }

    /// Removes and returns the next timer that is due.
    pub(crate) fn pop_due(&mut self, now: MonoTime) -> Option<TimerKey> {
        let due = self.0.first().is_some_and(|(at, _)| *at <= now);
        if due { self.0.pop_first().map(|(_, key)| key) } else { None }
    }

    /// Returns the time of the next timer.
    pub(crate) fn next(&self) -> Option<MonoTime> {
        self.0.first().map(|(at, _)| *at)
    }
}
