use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::MovePhase;
use crate::ServiceName;

/// The state of a version move as one instance, or a failure domain, reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    /// The service that is moved.
    pub service: ServiceName,
    /// Revision of the order.
    pub revision: u64,
    /// Phase of the move.
    pub phase: MovePhase,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u32,
    /// Counts of the new version's answers since the order.
    pub new: VersionTally,
    /// Counts of all other versions' answers since the order.
    pub old: VersionTally,
}

impl MoveReport {
    /// Whether both reports are of the same order.
    pub(crate) fn is_same_move(&self, other: &Self) -> bool {
        (&self.service, self.revision) == (&other.service, other.revision)
    }

    /// Removes the counts of one of the instances that this report sums up.
    pub(crate) fn subtract(&mut self, part: &Self) {
        self.new.subtract(&part.new);
        self.old.subtract(&part.old);
    }

    /// Merges another instance's report of the same move.
    pub(crate) fn add(&mut self, other: &Self) {
        self.phase = self.phase.max(other.phase);
        self.elapsed_ms = self.elapsed_ms.max(other.elapsed_ms);
        self.new.add(&other.new);
        self.old.add(&other.old);
    }
}

/// Counts and total time of the answers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTally {
    /// Number of good answers.
    pub good: u32,
    /// Number of failures.
    pub bad: u32,
    /// Total time at the target of the good answers, in milliseconds.
    pub hold_ms: u64,
}

impl VersionTally {
    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.hold_ms += other.hold_ms;
    }

    fn subtract(&mut self, part: &Self) {
        self.good = self.good.saturating_sub(part.good);
        self.bad = self.bad.saturating_sub(part.bad);
        self.hold_ms = self.hold_ms.saturating_sub(part.hold_ms);
    }

    /// Counts a good answer that took `hold`.
    pub fn record_good(&mut self, hold: Duration) {
        self.good += 1;
        self.hold_ms += u64::try_from(hold.as_millis()).unwrap_or(u64::MAX);
    }

    /// Mean time at the target of a good answer, in milliseconds; 0 without one.
    #[must_use]
    pub fn mean_hold_ms(&self) -> f64 {
        self.hold_ms as f64 / f64::from(self.good.max(1))
    }

    /// Share of failures among all answers; 0 without one.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        f64::from(self.bad) / f64::from((self.good + self.bad).max(1))
    }

    /// Number of good answers and failures.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.good + self.bad
    }
}
