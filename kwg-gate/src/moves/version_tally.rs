use kwg_decide::SampleBatch;
use serde::{Deserialize, Serialize};

use super::{AnswerOutcome, PaceHistogram};

/// Counts of the answers of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTally {
    /// Attempts that ended without a complete good answer: failed, cut, or given up by their caller.
    pub undelivered: u32,
    /// Attempts that have been open for longer than answers should take. They count as undelivered
    /// until they end.
    pub overdue: u32,
    /// Complete good answers by their pace.
    pub paces: PaceHistogram,
}

impl VersionTally {
    /// Counts an attempt.
    pub fn record(&mut self, outcome: AnswerOutcome) {
        match outcome {
            AnswerOutcome::Delivered { pace_ms } => self.paces.record(pace_ms),
            AnswerOutcome::Undelivered => self.undelivered += 1,
        }
    }

    /// Number of attempts.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.paces.total().saturating_add(self.failures())
    }

    /// Number of attempts without a complete good answer.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.undelivered.saturating_add(self.overdue)
    }

    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.undelivered = self.undelivered.saturating_add(other.undelivered);
        self.overdue = self.overdue.saturating_add(other.overdue);
        self.paces.add(&other.paces);
    }

    /// Raises the counts to those of another tally where these are higher.
    pub(super) fn raise(&mut self, other: &Self) {
        self.undelivered = self.undelivered.max(other.undelivered);
        self.overdue = self.overdue.max(other.overdue);
        self.paces.raise(&other.paces);
    }

    /// Removes a tally that this one includes.
    pub fn subtract(&mut self, part: &Self) {
        self.undelivered = self.undelivered.saturating_sub(part.undelivered);
        self.overdue = self.overdue.saturating_sub(part.overdue);
        self.paces.subtract(&part.paces);
    }

    /// The counts for the judge; answers in higher buckets than `slow_bucket` are slow.
    #[must_use]
    pub fn batch(&self, slow_bucket: usize) -> SampleBatch {
        SampleBatch {
            count: u64::from(self.total()),
            failures: u64::from(self.failures()),
            slow: u64::from(self.paces.count_above(slow_bucket)),
            timed: u64::from(self.paces.total()),
        }
    }
}
