use kwg_model::MonoTime;

use super::GateCore;
use crate::session::RoutePlan;
use crate::{AttemptPermit, EvacuatedDomains, PlacementQuery, RequestDetails};

impl GateCore {
    /// Sets the evacuated failure domains: nothing new is sent to their targets.
    pub fn set_evacuated(&mut self, domains: &EvacuatedDomains) {
        self.targets.set_evacuated(domains);
    }

    /// Until when a request waits although all targets of its service that would take it are in evacuated
    /// domains: as long as it can still be on time there, should the evacuation be taken back. One that may have run
    /// waits as without a target.
    pub(super) fn evacuation_wait(
        &self,
        details: &RequestDetails,
        plan: &RoutePlan,
        permit: &AttemptPermit,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let expected = self.targets.best_evacuated(query, now)?;
        let until = plan.wait_until(details, expected);
        let until = self.end.map_or(until, |end| until.min(end));
        (now < until && !permit.may_have_run()).then_some(until)
    }
}
