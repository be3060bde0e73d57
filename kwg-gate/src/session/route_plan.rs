use std::time::Duration;

use kwg_model::MonoTime;

use crate::{AccountLabel, RequestKind, ServiceName, TargetKey};

/// Result of applying the route table to a request, kept for the request's lifetime.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RoutePlan {
    /// Name of the route.
    pub(crate) route: String,
    /// Version of the route table that was applied.
    pub(crate) table_version: u64,
    /// The service selected by weight.
    pub(crate) service: ServiceName,
    /// The route's kind of requests.
    pub(crate) kind: RequestKind,
    /// Target time to the first event of a stream, or to the complete answer.
    pub(crate) target_latency: Duration,
    /// Maximum pause between events for a stream to be on time.
    pub(crate) gap_target: Option<Duration>,
    /// The account that is charged.
    pub(crate) account: Option<AccountLabel>,
    /// Units charged to the account's quota; 0 without a quota.
    pub(crate) units: u64,
    /// Rank in the wait queue; 0 is served first.
    pub(crate) rank: u32,
    /// Whether the targets are batching engines.
    pub(crate) on_engine: bool,
    /// Tokens per event of the stream.
    pub(crate) tokens_per_event: f64,
    /// When the final answer is due.
    pub(crate) due: MonoTime,
    /// The targets of earlier attempts.
    pub(crate) tried: Vec<TargetKey>,
}
