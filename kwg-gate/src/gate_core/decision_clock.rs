use std::time::Duration;

use kwg_model::MonoTime;

/// Longest time between two rounds of an instance that runs. After a longer one it was suspended:
/// answers and reports have arrived that it has not read.
const MAX_ROUND_GAP: Duration = Duration::from_millis(1_000);

/// When this instance takes decisions, and since when it has done so without a pause.
#[derive(Debug, Clone, Default)]
pub(super) struct DecisionClock {
    last_round: Option<MonoTime>,
    resumed: Option<MonoTime>,
}

impl DecisionClock {
    /// Records a round of decisions; returns whether the instance was suspended since the last one.
    pub(super) fn record_round(&mut self, now: MonoTime) -> bool {
        let last = self.last_round.replace(now);
        let was_suspended = last.is_some_and(|last| now.since(last) > MAX_ROUND_GAP);
        if was_suspended {
            self.resumed = Some(now);
        }
        was_suspended
    }

    /// Whether the instance goes on at this moment, after it was suspended.
    pub(super) fn resumes(&self, now: MonoTime) -> bool {
        self.resumed == Some(now)
    }

    /// Whether the instance was suspended later than `time`.
    pub(super) fn was_suspended_since(&self, time: MonoTime) -> bool {
        self.resumed.is_some_and(|resumed| time < resumed)
    }
}
