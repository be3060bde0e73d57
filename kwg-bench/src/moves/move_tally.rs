use std::fmt;

use super::{JudgeKind, MoveTrial, TrialOutcome, VersionKind};

/// Results of the moves to versions of one kind under one judge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveTally {
    /// Kind of the new versions.
    pub kind: VersionKind,
    /// Judge of the moves.
    pub judge: JudgeKind,
    /// Number of moves.
    pub moves: usize,
    /// Moves that completed within their window.
    pub done: usize,
    /// Moves that were rolled back.
    pub rolled_back: usize,
    /// Versions judged bad.
    pub judged_bad: usize,
    /// Largest traffic share of any new version, in percent.
    pub largest_share: u8,
    /// Moves whose new version reached a share of more than 5 percent.
    pub above_five: usize,
    /// Requests sent to new versions more than a second after they were judged bad.
    pub late_requests: u64,
}

impl MoveTally {
    /// Runs one move for each seed.
    #[must_use]
    pub fn run(
        kind: VersionKind,
        judge: JudgeKind,
        outages: bool,
        seeds: impl Iterator<Item = u64>,
    ) -> Self {
        let mut tally = Self {
            kind,
            judge,
            moves: 0,
            done: 0,
            rolled_back: 0,
            judged_bad: 0,
            largest_share: 0,
            above_five: 0,
            late_requests: 0,
        };
        for seed in seeds {
            tally.add(&MoveTrial { seed, kind, judge, outages }.run());
        }
        tally
    }

    fn add(&mut self, outcome: &TrialOutcome) {
        self.moves += 1;
        self.done += usize::from(outcome.is_done && outcome.in_time);
        self.rolled_back += usize::from(!outcome.is_done);
        self.judged_bad += usize::from(outcome.was_judged_bad);
        self.largest_share = self.largest_share.max(outcome.largest_share);
        self.above_five += usize::from(outcome.largest_share > 5);
        self.late_requests += outcome.late_requests;
    }

    /// Whether the moves meet the stated goals for versions of this kind.
    ///
    /// Good versions must complete in 99% of the moves and be judged bad in less than 1%. Bad
    /// versions must always be rolled back, and get no late requests and never more than 5% of
    /// the traffic.
    #[must_use]
    pub fn meets_goals(&self) -> bool {
        let share = |count: usize| count as f64 / self.moves.max(1) as f64;
        match self.kind {
            VersionKind::Good => share(self.done) >= 0.99 && share(self.judged_bad) < 0.01,
            _ => self.rolled_back == self.moves && self.late_requests == 0 && self.above_five == 0,
        }
    }
}

impl fmt::Display for MoveTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {:?} | {:?} | {} | {} | {} | {} | {}% | {} | {} |",
            self.kind,
            self.judge,
            self.moves,
            self.done,
            self.rolled_back,
            self.judged_bad,
            self.largest_share,
            self.above_five,
            self.late_requests
        )
    }
}
