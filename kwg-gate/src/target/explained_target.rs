use serde::{Deserialize, Serialize};

use crate::CostTerms;

/// What placement knows of one target for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedTarget {
    /// Name of the target.
    pub target: String,
    /// Its failure domain.
    pub domain: String,
    /// Its version.
    pub version: String,
    /// `open`, or why it takes the request not now: `leaving`, `paused`, `other-version`, `suspected`,
    /// `delays-others` or `full`.
    pub state: String,
    /// Sum of `terms`; the lowest one of the open targets is chosen, but for a small random amount.
    pub cost: f64,
    /// Terms of the cost.
    pub terms: CostTerms,
    /// Expected time to the first event or the answer, in milliseconds.
    pub expected_ms: f64,
    /// Streams that the request is expected to make late, its own among them.
    pub late_streams: f64,
    /// Time of a token, in milliseconds.
    pub step_ms: f64,
    /// Number of recent samples in `step_ms`.
    pub step_weight: f64,
    /// Time in which a prompt token is read, in milliseconds.
    pub read_ms: f64,
    /// Prompt tokens that it has not read.
    pub unread_tokens: u64,
    /// Number of requests that run there.
    pub load: u32,
    /// Number of requests up to which its streams keep their pauses.
    pub capacity: u32,
    /// Its configured slots.
    pub slots: u32,
    /// Age of the oldest report in these figures, in milliseconds.
    pub evidence_age_ms: u64,
}
