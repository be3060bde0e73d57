use kwg_model::MonoTime;

use super::GateCore;
use crate::session::RoutePlan;
use crate::{AttemptPermit, PlacementQuery, RequestDetails};

impl GateCore {
    /// Whether a request that finds no target may wait no longer. It then takes one where it delays other streams,
    /// rather than be refused.
    pub(super) fn is_last_resort(
        &self,
        details: &RequestDetails,
        plan: &RoutePlan,
        permit: &AttemptPermit,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> bool {
        query.gap_target.is_some() && self.wait_limit(details, plan, permit, query, now).0 <= now
    }
}
