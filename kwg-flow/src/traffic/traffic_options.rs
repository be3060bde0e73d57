use std::time::Duration;

use kwg_decide::{LedgerOptions, PlacementOptions, QueueOptions};

/// Limits and timeouts of a traffic core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficOptions {
    /// Limits of the ledger.
    pub ledger: LedgerOptions,
    /// Limits of each pool's queue.
    pub queue: QueueOptions,
    /// Settings of target placement.
    pub placement: PlacementOptions,
    /// Timeout of a claim at a remote home; the request's deadline applies if it is earlier.
    pub claim_timeout: Duration,
    /// Timeout of a revocation or a request for tickets at a remote home.
    pub home_timeout: Duration,
    /// Interval between resends of an unanswered message to a home.
    pub home_retry_interval: Duration,
    /// Interval between progress checks of an answer relayed by another core.
    pub join_check_interval: Duration,
    /// Pause before a broken stream is resumed, doubled with each attempt.
    pub resume_backoff: Duration,
    /// Maximum number of attempts to resume a broken stream without a new byte.
    pub max_resume_attempts: u32,
    /// Maximum number of targets queried in a search for a stream, the one named by the resume
    /// token included.
    pub max_search_targets: usize,
    /// Time for which an answer without readers continues.
    pub orphan_grace: Duration,
    /// Time for which a complete answer is retained for resends.
    pub answer_retention: Duration,
    /// Maximum total size of retained answers, in bytes.
    pub answer_max_bytes: u64,
    /// Timeout for a successor to take over the ledgers.
    pub hand_over_timeout: Duration,
}

impl Default for TrafficOptions {
    fn default() -> Self {
        Self {
            ledger: LedgerOptions::default(),
            queue: QueueOptions::default(),
            placement: PlacementOptions::default(),
            claim_timeout: Duration::from_secs(5),
            home_timeout: Duration::from_secs(3),
            home_retry_interval: Duration::from_millis(200),
            join_check_interval: Duration::from_millis(600),
            resume_backoff: Duration::from_millis(50),
            max_resume_attempts: 4,
            max_search_targets: 8,
            orphan_grace: Duration::from_secs(30),
            answer_retention: Duration::from_secs(60),
            answer_max_bytes: 8 << 20,
            hand_over_timeout: Duration::from_secs(3),
        }
    }
}
