use serde::{Deserialize, Serialize};

use super::VersionTally;
use crate::RouteLabel;

/// Counts of the answers of both versions on one route since the order of a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// The route.
    pub route: RouteLabel,
    /// Answers of the new version.
    pub new: VersionTally,
    /// Answers of all other versions.
    pub old: VersionTally,
}

impl RouteTally {
    /// A tally without answers.
    #[must_use]
    pub fn new(route: RouteLabel) -> Self {
        Self { route, new: VersionTally::default(), old: VersionTally::default() }
    }

    /// Number of attempts of both versions.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.new.total().saturating_add(self.old.total())
    }

    /// Adds the counts of another tally of the route.
    pub fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// Raises the counts to those of another tally of the route where these are higher.
    pub(super) fn raise(&mut self, other: &Self) {
        self.new.raise(&other.new);
        self.old.raise(&other.old);
    }

    /// The counts of ended attempts.
    pub(super) fn without_overdue(&self) -> Self {
        let ended = |tally: VersionTally| VersionTally { overdue: 0, ..tally };
        Self { route: self.route.clone(), new: ended(self.new), old: ended(self.old) }
    }

    /// Removes the counts of a tally that this one includes.
    pub fn subtract(&mut self, part: &Self) {
        self.new.subtract(&part.new);
        self.old.subtract(&part.old);
    }
}
