use std::time::Duration;

use kwg_model::MonoTime;

use crate::{AccountLabel, RequestKind, ServiceName, TargetKey};

/// What the route table decided about a request, kept for the request's lifetime.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RoutePlan {
    pub(crate) route: String,
    pub(crate) table_version: u64,
    pub(crate) service: ServiceName,
    pub(crate) kind: RequestKind,
    pub(crate) target_latency: Duration,
    pub(crate) gap_target: Option<Duration>,
    pub(crate) account: Option<AccountLabel>,
    pub(crate) units: u64,
    pub(crate) rank: u32,
    pub(crate) on_engine: bool,
    pub(crate) tokens_per_event: f64,
    /// When the final answer is due.
    pub(crate) due: MonoTime,
    pub(crate) tried: Vec<TargetKey>,
}
