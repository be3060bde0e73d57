use std::time::Duration;

use kwg_model::MonoTime;

use super::ControlEvent;

/// Maximum time to wait for the answer to a read before the next read.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Schedules reads from the platform: one read at a time, within a rate limit for the whole fleet.
#[derive(Debug)]
pub(super) struct ReadSchedule {
    min_interval: Duration,
    next: MonoTime,
    is_unavailable: bool,
}

/// Change of the platform's availability, as seen from one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadChange {
    Unchanged,
    BecameUnavailable,
    BecameAvailable,
}

impl ReadChange {
    /// Returns the event for this change; `request` names the kind of the read.
    pub(super) fn event(self, request: &'static str) -> Option<ControlEvent> {
        match self {
            Self::Unchanged => None,
            Self::BecameUnavailable => Some(ControlEvent::PlatformDown { request }),
            Self::BecameAvailable => Some(ControlEvent::PlatformUp { request }),
        }
    }
}

impl ReadSchedule {
    pub(super) fn new(min_interval: Duration) -> Self {
        Self { min_interval, next: MonoTime::ZERO, is_unavailable: false }
    }

    /// Starts a read if one is due; returns whether it did.
    ///
    /// The next one is due after its answer or a timeout.
    pub(super) fn begin_if_due(&mut self, now: MonoTime) -> bool {
        let due = now >= self.next;
        if due {
            self.next = now + ANSWER_TIMEOUT;
        }
        due
    }

    /// Records whether a read was answered, and schedules the next read such that a fleet of
    /// `routers` makes at most `per_second` reads per second.
    pub(super) fn record_answer(
        &mut self,
        now: MonoTime,
        answered: bool,
        routers: u32,
        per_second: u32,
    ) -> ReadChange {
        let share = Duration::from_secs(1) * routers / per_second.max(1);
        self.next = now + self.min_interval.max(share);
        let was_unavailable = std::mem::replace(&mut self.is_unavailable, !answered);
        match (was_unavailable, self.is_unavailable) {
            (false, true) => ReadChange::BecameUnavailable,
            (true, false) => ReadChange::BecameAvailable,
            _ => ReadChange::Unchanged,
        }
    }

    pub(super) fn next(&self) -> MonoTime {
        self.next
    }
}
