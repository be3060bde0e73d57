use std::fmt;

use super::{JudgeKind, MoveTrial, TrialOutcome, VersionKind};

/// How the moves of one kind ended under one judge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveTally {
    /// How the versions behaved.
    pub kind: VersionKind,
    /// Who judged.
    pub judge: JudgeKind,
    /// Moves made.
    pub moves: usize,
    /// Moves that ended with the new version in place by the set time.
    pub done: usize,
    /// Moves that were taken back.
    pub taken_back: usize,
    /// Versions called bad.
    pub called_bad: usize,
    /// The largest share that any of the versions had, in percent.
    pub largest_share: u8,
    /// Moves whose version had a share of more than 5 percent.
    pub above_five: usize,
    /// Requests that versions got later than a second after they were called bad.
    pub late_requests: u64,
}

impl MoveTally {
    /// Makes moves with these seeds.
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
            taken_back: 0,
            called_bad: 0,
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
        self.taken_back += usize::from(!outcome.is_done);
        self.called_bad += usize::from(outcome.was_called_bad);
        self.largest_share = self.largest_share.max(outcome.largest_share);
        self.above_five += usize::from(outcome.largest_share > 5);
        self.late_requests += outcome.late_requests;
    }

    /// Whether the goals of the brief hold for this kind.
    #[must_use]
    pub fn meets_goals(&self) -> bool {
        let part = |count: usize| count as f64 / self.moves.max(1) as f64;
        match self.kind {
            VersionKind::Good => part(self.done) >= 0.99 && part(self.called_bad) < 0.01,
            _ => self.taken_back == self.moves && self.late_requests == 0 && self.above_five == 0,
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
            self.taken_back,
            self.called_bad,
            self.largest_share,
            self.above_five,
            self.late_requests
        )
    }
}
