use kwg_model::MonoTime;

use super::{GateCore, TARGET_RETRY};
use crate::session::RoutePlan;
use crate::{FinalOutcome, FleetView, RefusalReason, RequestDetails, RouteMatch};

impl GateCore {
    pub(crate) fn admit(
        &mut self,
        details: &RequestDetails,
        draw: f64,
        now: MonoTime,
    ) -> Result<(RoutePlan, u8), FinalOutcome> {
        let Some(table) = self.table.clone() else {
            return Err(FinalOutcome::refused_until(RefusalReason::NoTable, TARGET_RETRY));
        };
        let (route, account) =
            match table.find(&details.host, &details.path, details.key.as_deref()) {
                RouteMatch::Served { route, account } => (route, account),
                RouteMatch::NoRoute => return Err(FinalOutcome::refused(RefusalReason::NoRoute)),
                RouteMatch::UnknownKey => {
                    return Err(FinalOutcome::refused(RefusalReason::UnknownKey));
                }
            };
        let Some(service) = route.service_for(draw) else {
            return Err(FinalOutcome::refused(RefusalReason::NoRoute));
        };
        let trial_after = self.admit_suspect(details, now)?;
        self.budget.record_request(service, now);
        let quota = account.and_then(|account| account.quota);
        let units = quota.map_or(0, |quota| quota.units(details.tokens));
        if let (Some(account), Some(quota)) = (account, quota) {
            let fleet = FleetView { size: self.fleet_size, reachable: self.peers.reachable() };
            let taken = self.quotas.take(&account.label, &quota, units, fleet, now);
            taken.map_err(|wait| FinalOutcome::refused_until(RefusalReason::OverQuota, wait))?;
        }
        let spent =
            self.longest_waits.time_spent(&route.name, details.deadline.since(details.arrived));
        let is_overdue = spent > route.target_latency;
        let rank = route.wait_rank(account.and_then(|account| account.rank), is_overdue);
        let bound = account.map(|account| &account.regions);
        let plan = RoutePlan {
            regions: bound.map_or_else(|| route.regions.clone(), |bound| route.regions.and(bound)),
            account: account.map(|account| account.label.clone()),
            units,
            rank,
            trial_after,
            ..RoutePlan::new(&table, route, service, details)
        };
        Ok((plan, route.max_attempts))
    }
}
