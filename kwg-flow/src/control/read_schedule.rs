use std::time::Duration;

use kwg_model::MonoTime;

use super::ControlEvent;

/// How long an unanswered read is waited for before the next one.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// When to read something from the platform again: one read at a time, and a large fleet as a
/// whole no more often than the platform bears.
#[derive(Debug)]
pub(super) struct ReadSchedule {
    shortest: Duration,
    next: MonoTime,
    is_down: bool,
}

/// How the platform's state changed with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadChange {
    Same,
    WentDown,
    CameUp,
}

impl ReadChange {
    /// The change as an event of what was asked.
    pub(super) fn event(self, request: &'static str) -> Option<ControlEvent> {
        match self {
            Self::Same => None,
            Self::WentDown => Some(ControlEvent::PlatformDown { request }),
            Self::CameUp => Some(ControlEvent::PlatformUp { request }),
        }
    }
}

impl ReadSchedule {
    pub(super) fn new(shortest: Duration) -> Self {
        Self { shortest, next: MonoTime::ZERO, is_down: false }
    }

    /// Whether a read is due; if so, the next one is not before its answer or a timeout.
    pub(super) fn is_due(&mut self, now: MonoTime) -> bool {
        let due = now >= self.next;
        if due {
            self.next = now + ANSWER_TIMEOUT;
        }
        due
    }

    /// Notes an answer, or that there was none. A fleet of `routers` makes at most
    /// `per_second` reads a second together.
    pub(super) fn note_answer(
        &mut self,
        now: MonoTime,
        answered: bool,
        routers: u32,
        per_second: u32,
    ) -> ReadChange {
        let share = Duration::from_secs(1) * routers / per_second.max(1);
        self.next = now + self.shortest.max(share);
        let was_down = std::mem::replace(&mut self.is_down, !answered);
        match (was_down, self.is_down) {
            (false, true) => ReadChange::WentDown,
            (true, false) => ReadChange::CameUp,
            _ => ReadChange::Same,
        }
    }

    pub(super) fn next(&self) -> MonoTime {
        self.next
    }
}
