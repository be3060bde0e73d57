use kwg_model::{FleetSnapshot, MonoTime, PoolRow, RegionName, ServiceTier};

use crate::LimitShare;

/// Inputs of the target selection for one request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The current time.
    pub now: MonoTime,
    /// The fleet as last published.
    pub fleet: &'a FleetSnapshot,
    /// The pool that serves the request.
    pub pool: &'a PoolRow,
    /// The region of this router.
    pub region: &'a RegionName,
    /// The tier of the request.
    pub tier: ServiceTier,
    /// The expected work, in tokens.
    pub cost_tokens: u64,
    /// This core's share of the limits of each target.
    pub share: LimitShare,
}
