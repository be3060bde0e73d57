use std::collections::HashSet;
use std::time::Duration;

use kwg_model::MonoTime;

use super::SuspectKey;
use super::suspect_entry::EndId;

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

/// The requests that have all of some suspects, and are refused.
///
/// Several suspects that have ended the same targets cannot be told apart until a request comes that has only one of
/// them, so such a request is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusedGroup {
    /// What a request must have to be refused, in order.
    pub suspects: Vec<SuspectKey>,
    /// The ends of targets that speak for it.
    pub(super) explains: HashSet<EndId>,
    /// Until when it holds.
    pub(super) until: MonoTime,
    /// What a trial goes by; none if there is no doubt.
    pub(super) doubt: Option<VerdictDoubt>,
}

/// A verdict that may be wrong: the suspect was answered before, or many targets ended at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct VerdictDoubt {
    pub(super) last_end: MonoTime,
    /// Number of trials under which a target has ended.
    pub(super) failed_trials: u32,
    /// Requests in a second, by the ends.
    pub(super) rate: f64,
}

impl RefusedGroup {
    /// Number of ends of targets that speak for it.
    #[must_use]
    pub fn ends(&self) -> usize {
        self.explains.len()
    }

    /// Whether a request may be sent to find out whether the verdict is right. `draw` is random in [0, 1): instances do
    /// not wait for each other, so each sends few.
    pub(super) fn allows_trial(&self, draw: f64, now: MonoTime) -> bool {
        let Some(doubt) = self.doubt else { return false };
        let wait = FIRST_TRIAL * TRIAL_GROWTH.saturating_pow(doubt.failed_trials);
        let expected = doubt.rate * KNOWN_TIME.as_secs_f64();
        let sends = if doubt.failed_trials == 0 { FIRST_SENDS } else { LATER_SENDS };
        now >= doubt.last_end + wait && draw * expected < sends
    }
}

impl VerdictDoubt {
    /// Time between the end that convicted a suspect and the first one that can be that of a trial.
    pub(super) fn first_trial() -> Duration {
        FIRST_TRIAL
    }
}
