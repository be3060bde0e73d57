use std::time::Duration;

use kwg_model::MonoTime;

use super::GateCore;
use crate::session::RoutePlan;
use crate::{Placement, PlacementDecision, RequestDetails, TargetKey};

/// Time within which the second target of a request must show that it answers it, and for which two
/// targets have the request at most. A target that declines does so within milliseconds.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);

impl GateCore {
    /// Until when both targets have a request that is handed over now.
    pub(crate) fn hand_over_limit(plan: &RoutePlan, now: MonoTime) -> MonoTime {
        (now + HAND_OVER_TIME).min(plan.due)
    }

    /// The targets to which a request must not be sent: those of its attempts, the running one at
    /// `running` included; or all but the one that a hand-over has left if it is to return there.
    pub(crate) fn excluded(
        &self,
        plan: &RoutePlan,
        running: Option<TargetKey>,
        is_return: bool,
    ) -> Vec<TargetKey> {
        match is_return {
            true => self.targets.keys().filter(|key| Some(*key) != plan.left).collect(),
            false => plan.tried.iter().copied().chain(running).collect(),
        }
    }

    /// Chooses a second target with a free slot for a request, if the request may run once more and the
    /// second target is expected to show an answer in time.
    pub(crate) fn place_second(
        &self,
        details: &RequestDetails,
        plan: &RoutePlan,
        excluded: &[TargetKey],
        draw: f64,
        now: MonoTime,
    ) -> Option<Placement> {
        let regions = self.regions(details, plan);
        let query = self.placement_query(details, plan, &regions, excluded, now);
        let is_allowed = !self.refuses(details, plan, now)
            && self.budget.has_room(&plan.service, self.budget_instances(), now);
        match self.targets.place(&query, now, draw) {
            PlacementDecision::Send(placement) if is_allowed => {
                let expected = self.targets.cautious_expected(&query, &placement, now);
                let is_quick = expected < HAND_OVER_TIME;
                let placement = self.with_known_ends(placement);
                (is_quick && now + HAND_OVER_TIME < plan.due).then_some(placement)
            }
            _ => None,
        }
    }

    /// Takes the second run of a request from the retry budget; returns whether it is allowed.
    pub(crate) fn take_second_run(
        &mut self,
        details: &RequestDetails,
        plan: &RoutePlan,
        now: MonoTime,
    ) -> bool {
        !self.refuses(details, plan, now)
            && self.budget.take(&plan.service, self.budget_instances(), now)
    }
}
