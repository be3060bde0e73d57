use serde::{Deserialize, Serialize};

use crate::ExplainedTarget;

/// Where a request would go now, and why.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// `send`, `wait` or `refuse`.
    pub outcome: String,
    /// The chosen target of a request that would be sent.
    pub target: Option<String>,
    /// Reason of a refusal, as in logs; of a request that would wait, the one that would follow.
    pub reason: Option<String>,
    /// For how long it would wait at most, in milliseconds.
    pub wait_ms: Option<u64>,
    /// Retry-After of a refusal, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Name of the route.
    pub route: Option<String>,
    /// The requested service.
    pub service: Option<String>,
    /// Rank in the wait queue; 0 is the first.
    pub rank: Option<u32>,
    /// Number of requests that wait for the service at this instance, those behind it included.
    pub waiting_here: u32,
    /// The same at all other instances.
    pub waiting_elsewhere: u32,
    /// The targets of the service, the cheapest open ones first.
    pub targets: Vec<ExplainedTarget>,
    /// Number of further targets that are not listed.
    pub omitted: usize,
}
