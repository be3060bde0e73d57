use std::time::Duration;

use kwg_decide::{LedgerOptions, PlacementOptions, QueueOptions};

/// Limits and waiting times of a traffic core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficOptions {
    /// Limits of the ledger.
    pub ledger: LedgerOptions,
    /// Limits of each pool's queue.
    pub queue: QueueOptions,
    /// Settings of placement.
    pub placement: PlacementOptions,
    /// How long a remote home has to answer a claim, if the request's deadline is not earlier.
    pub claim_timeout: Duration,
    /// How long a remote home has to answer a burning or a call for tickets.
    pub home_timeout: Duration,
    /// How long after which an unanswered message to a home is sent again.
    pub home_retry: Duration,
    /// How long the core that runs a request has to begin relaying it.
    pub attach_timeout: Duration,
    /// Waiting time before a broken stream is resumed, doubled with each try.
    pub resume_pause: Duration,
    /// How often a broken stream is resumed without a new byte.
    pub resume_tries: u32,
    /// Most targets that are asked for a stream whose target is not known.
    pub ask_limit: usize,
    /// How long an answer without readers runs on.
    pub orphan_grace: Duration,
    /// How long a whole answer is kept for a resend.
    pub answer_retention: Duration,
    /// Most bytes of whole answers that are kept.
    pub answer_max_bytes: u64,
    /// How long a successor has to take over the ledger.
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
            home_retry: Duration::from_millis(200),
            attach_timeout: Duration::from_millis(600),
            resume_pause: Duration::from_millis(50),
            resume_tries: 4,
            ask_limit: 8,
            orphan_grace: Duration::from_secs(30),
            answer_retention: Duration::from_secs(60),
            answer_max_bytes: 8 << 20,
            hand_over_timeout: Duration::from_secs(3),
        }
    }
}
