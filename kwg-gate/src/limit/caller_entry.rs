use std::task::Waker;
use std::time::Duration;

use kwg_model::MonoTime;

use super::CallerPhase;

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerEntry {
    pub(crate) phase: CallerPhase,
    /// Bytes held for it, without those that each connection takes.
    pub(crate) held: usize,
    /// Why it is being closed; none while it is not.
    pub(crate) closing: Option<&'static str>,
    /// Wakes its task when it is to be closed.
    pub(crate) waker: Option<Waker>,
    /// When the phase began, or the last time that enough bytes had moved.
    progress_since: MonoTime,
    /// Bytes that have moved since then.
    moved: u64,
}

impl CallerEntry {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            phase: CallerPhase::Fresh,
            held: 0,
            closing: None,
            waker: None,
            progress_since: now,
            moved: 0,
        }
    }

    /// Begins a phase.
    pub(crate) fn set_phase(&mut self, phase: CallerPhase, now: MonoTime) {
        if self.phase != phase {
            (self.phase, self.progress_since, self.moved) = (phase, now, 0);
        }
    }

    /// Counts bytes that have moved. The time without progress begins anew only after `enough` bytes, so
    /// that a byte now and then is no progress.
    pub(crate) fn record_progress(&mut self, bytes: usize, enough: u64, now: MonoTime) {
        self.moved = self.moved.saturating_add(bytes as u64);
        if self.moved >= enough {
            (self.progress_since, self.moved) = (now, 0);
        }
    }

    /// When the time without enough progress began.
    pub(crate) fn progress_since(&self) -> MonoTime {
        self.progress_since
    }

    /// How long it has been without enough progress.
    pub(crate) fn age(&self, now: MonoTime) -> Duration {
        now.since(self.progress_since)
    }

    /// Marks it to be closed, and wakes its task.
    pub(crate) fn close(&mut self) {
        self.closing = Some(self.phase.close_reason());
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}
