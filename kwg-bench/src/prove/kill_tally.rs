use std::collections::BTreeSet;
use std::fmt;

use kwg_standin::{CallReport, CallResult};

use crate::TicketLog;

/// What is known of a run beside what its callers report.
pub struct RunEvidence<'a> {
    /// What targets saw.
    pub log: &'a TicketLog,
    /// The key under which targets see a ticket.
    pub key_of: &'a dyn Fn(&str) -> String,
    /// The router runs that were not killed, as the keys of their tickets begin.
    pub live_runs: &'a [String],
    /// The targets that were killed.
    pub killed_targets: &'a BTreeSet<String>,
}

impl fmt::Debug for RunEvidence<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunEvidence").field("live_runs", &self.live_runs).finish_non_exhaustive()
    }
}

/// How the requests of a run ended, checked against the targets' own logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KillTally {
    /// Requests made.
    pub requests: usize,
    /// Answered whole and right.
    pub answered: usize,
    /// Not run, by a router's word.
    pub not_run: usize,
    /// Outcome unknown, by a router's word or because nobody answered.
    pub unknown: usize,
    /// Of these, requests whose ticket's home had been killed.
    pub home_died: usize,
    /// Of these, requests whose target had been killed.
    pub target_died: usize,
    /// Of these, calls of a plain service, whose answers nobody can read again.
    pub service: usize,
    /// Not accepted.
    pub rejected: usize,
    /// Wrong or partial answers taken for whole ones.
    pub wrong: usize,
    /// Requests whose connection broke at least once.
    pub cut: usize,
    /// Tickets that reached targets more than once.
    pub dispatched_twice: usize,
    /// Requests said not to be run that a target has seen.
    pub false_not_run: usize,
    /// Routers killed.
    pub kills: usize,
}

impl KillTally {
    /// Counts the reports of a run against what is known of it.
    #[must_use]
    pub fn count(reports: &[CallReport], evidence: &RunEvidence<'_>) -> Self {
        let log = evidence.log;
        let mut tally = Self { dispatched_twice: log.dispatched_twice(), ..Self::default() };
        for report in reports {
            let key = report.ticket.as_deref().map(evidence.key_of).unwrap_or_default();
            tally.requests += 1;
            tally.cut += usize::from(report.resends > 0);
            match &report.result {
                CallResult::Answered => tally.answered += 1,
                CallResult::Wrong => tally.wrong += 1,
                CallResult::Unknown(_) => tally.count_unknown(report, &key, evidence),
                CallResult::Rejected(_) => tally.rejected += 1,
                CallResult::NotRun(_) => {
                    tally.not_run += 1;
                    tally.false_not_run += usize::from(!log.targets(&key).is_empty());
                }
            }
        }
        tally
    }

    fn count_unknown(&mut self, report: &CallReport, key: &str, evidence: &RunEvidence<'_>) {
        self.unknown += 1;
        let targets = evidence.log.targets(key);
        if targets.iter().any(|target| evidence.killed_targets.contains(target)) {
            self.target_died += 1;
        } else if !evidence.live_runs.iter().any(|run| key.starts_with(run)) {
            self.home_died += 1;
        } else if !report.is_engine {
            self.service += 1;
        }
    }

    /// Adds another run.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.home_died += other.home_died;
        self.target_died += other.target_died;
        self.service += other.service;
        self.rejected += other.rejected;
        self.wrong += other.wrong;
        self.cut += other.cut;
        self.dispatched_twice += other.dispatched_twice;
        self.false_not_run += other.false_not_run;
        self.kills += other.kills;
    }

    /// Whether nothing happened that must not.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.dispatched_twice == 0 && self.wrong == 0 && self.false_not_run == 0
    }
}

impl fmt::Display for KillTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { requests, answered, not_run, unknown, rejected, wrong, cut, .. } = self;
        let Self { dispatched_twice, false_not_run, kills, home_died, target_died, .. } = self;
        let service = self.service;
        let other = unknown - home_died - target_died - service;
        write!(
            f,
            "requests={requests} answered={answered} not_run={not_run} unknown={unknown} (home_died={home_died} \
             target_died={target_died} plain_service={service} other={other}) \
             rejected={rejected} cut_and_resent={cut} routers_killed={kills} \
             dispatched_twice={dispatched_twice} wrong_or_partial={wrong} \
             false_not_run={false_not_run}"
        )
    }
}
