use std::collections::BTreeSet;
use std::fmt;

use kwg_standin::{CallReport, CallResult};

use crate::TicketLog;

/// Evidence on a run, independent of its callers' reports.
pub struct RunEvidence<'a> {
    /// Dispatches from the targets' logs.
    pub log: &'a TicketLog,
    /// Returns the key by which targets identify a ticket.
    pub ticket_key: &'a dyn Fn(&str) -> String,
    /// The current run of each router, as the prefix of the keys of its tickets.
    pub live_runs: &'a [String],
    /// Names of the killed targets.
    pub killed_targets: &'a BTreeSet<String>,
}

impl fmt::Debug for RunEvidence<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunEvidence").field("live_runs", &self.live_runs).finish_non_exhaustive()
    }
}

/// Results of the requests of a run, checked against the targets' own logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KillTally {
    /// Number of requests.
    pub requests: usize,
    /// Requests with a complete and correct answer.
    pub answered: usize,
    /// Requests that a router reported as not run.
    pub not_run: usize,
    /// Requests whose outcome is unknown, as reported by a router or for lack of a response.
    pub unknown: usize,
    /// Requests of unknown outcome, not counted in `target_died`, that have no ticket or whose
    /// ticket's home no longer runs.
    pub home_died: usize,
    /// Requests of unknown outcome that were dispatched to a target killed during the run.
    pub target_died: usize,
    /// Requests of unknown outcome to the plain service, whose answers cannot be read again, not
    /// counted in `target_died` or `home_died`.
    pub service: usize,
    /// Requests that were not accepted.
    pub rejected: usize,
    /// Requests with a wrong or partial answer that ended as if it were complete.
    pub wrong: usize,
    /// Requests with more than one attempt, including attempts that got no ticket or no connection.
    pub resent: usize,
    /// Tickets that were dispatched more than once.
    pub dispatched_twice: usize,
    /// Requests reported as not run that a target received.
    pub false_not_run: usize,
    /// Number of router kills.
    pub kills: usize,
}

impl KillTally {
    /// Counts the callers' reports of a run and checks them against the evidence.
    #[must_use]
    pub fn count(reports: &[CallReport], evidence: &RunEvidence<'_>) -> Self {
        let log = evidence.log;
        let mut tally = Self { dispatched_twice: log.dispatched_twice(), ..Self::default() };
        for report in reports {
            let key = report.ticket.as_deref().map(evidence.ticket_key).unwrap_or_default();
            tally.requests += 1;
            tally.resent += usize::from(report.resends > 0);
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

    /// Adds the results of another run.
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
        self.resent += other.resent;
        self.dispatched_twice += other.dispatched_twice;
        self.false_not_run += other.false_not_run;
        self.kills += other.kills;
    }

    /// Whether no ticket was dispatched twice, no answer was wrong and no request reported as not
    /// run reached a target.
    #[must_use]
    pub fn invariants_hold(&self) -> bool {
        self.dispatched_twice == 0 && self.wrong == 0 && self.false_not_run == 0
    }
}

impl fmt::Display for KillTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { requests, answered, not_run, unknown, rejected, wrong, resent, .. } = self;
        let Self { dispatched_twice, false_not_run, kills, home_died, target_died, .. } = self;
        let service = self.service;
        let other = unknown - home_died - target_died - service;
        write!(
            f,
            "requests={requests} answered={answered} not_run={not_run} unknown={unknown} (home_died={home_died} \
             target_died={target_died} plain_service={service} other={other}) \
             rejected={rejected} cut_and_resent={resent} routers_killed={kills} \
             dispatched_twice={dispatched_twice} wrong_or_partial={wrong} \
             false_not_run={false_not_run}"
        )
    }
}
