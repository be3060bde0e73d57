use std::time::Duration;

use kwg_model::MonoTime;

/// Time from the last end to the first trial. Each trial under which another target ends makes the next one wait
/// `TRIAL_GROWTH` times as long.
const FIRST_TRIAL: Duration = Duration::from_millis(800);
const TRIAL_GROWTH: u32 = 10;
/// Time in which all instances know of the end of a target.
const KNOWN_TIME: Duration = Duration::from_millis(500);
/// Mean number of requests that are sent in `KNOWN_TIME` once the first trial is due.
const FIRST_SENDS: f64 = 1.0;
/// The same in later trials, before which the verdict has proved right.
const LATER_SENDS: f64 = 0.25;

/// A verdict that may be wrong: the suspect was answered before, or many targets ended at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct VerdictDoubt {
    pub(super) last_end: MonoTime,
    /// Number of trials under which a target has ended.
    pub(super) failed_trials: u32,
    /// Requests in a second, by the ends.
    pub(super) rate: f64,
}

impl VerdictDoubt {
    /// Time between the end that convicted a suspect and the first one that can be that of a trial.
    pub(super) fn first_trial() -> Duration {
        FIRST_TRIAL
    }

    /// Whether a request may be sent to find out whether the verdict is right. `draw` is random in [0, 1): instances do
    /// not wait for each other, so each sends few.
    pub(super) fn allows_trial(&self, draw: f64, now: MonoTime) -> bool {
        let wait = FIRST_TRIAL * TRIAL_GROWTH.saturating_pow(self.failed_trials);
        let expected = self.rate * KNOWN_TIME.as_secs_f64();
        let sends = if self.failed_trials == 0 { FIRST_SENDS } else { LATER_SENDS };
        now >= self.last_end + wait && draw * expected < sends
    }
}
