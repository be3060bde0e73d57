use std::collections::VecDeque;
use std::time::Duration;

use kwg_model::MonoTime;

use crate::{RouteLabel, ServiceName};

/// Time after which it is known whether this instance was cut off from its peers at the attempt: longer
/// than the silence after which they no longer count as reachable.
const DELAY: Duration = Duration::from_millis(1_800);
/// Largest number of attempts that are kept; further ones are not counted.
const MAX_ATTEMPTS: usize = 256;

/// An attempt whose target could not be reached.
#[derive(Debug, Clone)]
pub(super) struct UnreachedAttempt {
    pub(super) at: MonoTime,
    pub(super) service: ServiceName,
    pub(super) version: String,
    pub(super) route: RouteLabel,
}

/// Attempts whose targets could not be reached. They count for the version of their target once it is known
/// that this instance was not cut off itself.
#[derive(Debug, Clone, Default)]
pub(super) struct UnreachedLog {
    attempts: VecDeque<UnreachedAttempt>,
}

impl UnreachedLog {
    /// Adds an attempt.
    pub(super) fn record(&mut self, attempt: UnreachedAttempt) {
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.push_back(attempt);
        }
    }

    /// Removes and returns the attempts that are old enough to be counted.
    pub(super) fn take_due(&mut self, now: MonoTime) -> Vec<UnreachedAttempt> {
        let is_due = |attempt: &&UnreachedAttempt| now.since(attempt.at) >= DELAY;
        let count = self.attempts.iter().take_while(is_due).count();
        self.attempts.drain(..count).collect()
    }
}
