use kwg_model::MonoTime;

use super::GateCore;
use crate::session::RoutePlan;
use crate::{PlacementQuery, RefusalReason, RegionBound, RequestDetails, TargetKey};

impl GateCore {
    /// The regions in which a request may run now: those of the table that admitted it, and of the one in force if that
    /// is another. A request that waits thus obeys both.
    pub(super) fn regions(&self, details: &RequestDetails, plan: &RoutePlan) -> RegionBound {
        match &self.table {
            Some(table) if table.version() != plan.table_version => {
                let newer = table.regions_of(details, plan.account.as_ref());
                plan.regions.and(&newer)
            }
            _ => plan.regions.clone(),
        }
    }

    /// Whether a target lies in a region where a request may run now.
    pub(crate) fn is_in_regions(
        &self,
        details: &RequestDetails,
        plan: &RoutePlan,
        target: TargetKey,
    ) -> bool {
        self.targets.lies_within(target, self.regions(details, plan).names())
    }

    /// Whether more requests wait for a service, at this or another instance, than slots are idle at its targets in some
    /// regions. Fewer ones wait for other regions, or for the next report, and must not keep others from idle slots: one
    /// waiting request in a large fleet would otherwise close all slots that have other owners.
    pub(super) fn is_contended(
        &self,
        service: &str,
        regions: Option<&[String]>,
        now: MonoTime,
    ) -> bool {
        let waiting = self.peers.waiting(service).saturating_add(self.waiting.count(service));
        let waits_elsewhere = || self.targets.idle_slots_within(service, regions, now) > waiting;
        waiting > 0 && !waits_elsewhere()
    }

    /// Why no target may serve a request.
    pub(super) fn no_target_reason(
        &self,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> RefusalReason {
        match self.targets.is_out_of_regions(query, now) {
            true => RefusalReason::NoRegionTarget,
            false => RefusalReason::NoTarget,
        }
    }
}
