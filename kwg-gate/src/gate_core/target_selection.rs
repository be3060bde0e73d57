use kwg_model::MonoTime;

use super::{CAPACITY_RETRY, GateCore, TARGET_RETRY};
use crate::session::{PlacementStep, RoutePlan};
use crate::{
    AttemptPermit, FinalOutcome, PlacementDecision, PlacementQuery, RefusalReason, RegionBound,
    RequestDetails, TargetKey, UnknownReason,
};

impl GateCore {
    pub(crate) fn place(
        &mut self,
        details: &RequestDetails,
        plan: &RoutePlan,
        permit: &AttemptPermit,
        draw: f64,
        now: MonoTime,
    ) -> PlacementStep {
        let excluded = self.excluded(plan, None, permit.is_return());
        let regions = self.regions(details, plan);
        let query = self.placement_query(details, plan, &regions, &excluded, now);
        let is_open = now < plan.due && !self.has_ended(now);
        if let Some(until) = self.joining_end(now).filter(|_| is_open) {
            return PlacementStep::Wait(until.min(plan.due));
        }
        let decision = match self.choose_target(plan, permit, &query, draw, now) {
            PlacementDecision::Full if self.is_last_resort(details, plan, permit, &query, now) => {
                self.choose_target(plan, permit, &query.at_last(), draw, now)
            }
            decision => decision,
        };
        let passes_cold = self.targets.passes_over_cold(&query, now);
        let outcome = match decision {
            _ if now >= plan.due => FinalOutcome::refused(RefusalReason::TimedOut),
            _ if self.refuses(details, plan, now) => FinalOutcome::refused(RefusalReason::Suspect),
            _ if self.has_ended(now) => FinalOutcome::stopping(),
            PlacementDecision::Send(placement)
                if !permit.may_have_run() && self.would_be_cut(&query, &placement, now) =>
            {
                FinalOutcome::stopping()
            }
            PlacementDecision::Send(placement) => {
                self.passed_cold += u64::from(passes_cold);
                if self.renew_retry(plan, now) {
                    return PlacementStep::Send(self.with_known_ends(placement));
                }
                FinalOutcome::refused_until(RefusalReason::BudgetSpent, CAPACITY_RETRY)
            }
            PlacementDecision::NoTarget => match self
                .next_look(plan, permit, now)
                .or_else(|| self.evacuation_wait(details, plan, permit, &query, now))
            {
                Some(until) => return PlacementStep::Wait(until),
                None => {
                    let reason = self.no_target_reason(&query, now);
                    let outcome = FinalOutcome::refused_until(reason, TARGET_RETRY);
                    self.refused_in_pause(outcome, &query, draw, now)
                }
            },
            PlacementDecision::Full => {
                let (until, outcome) = self.wait_limit(details, plan, permit, &query, now);
                if now < until {
                    return PlacementStep::Wait(until);
                }
                self.refused_in_pause(outcome, &query, draw, now)
            }
        };
        let outcome = match permit.may_have_run() {
            true => FinalOutcome::Unknown(UnknownReason::Cut),
            false => outcome,
        };
        self.refund_if_refused(plan, outcome);
        PlacementStep::Refuse(outcome)
    }

    pub(super) fn placement_query<'a>(
        &'a self,
        details: &RequestDetails,
        plan: &'a RoutePlan,
        regions: &'a RegionBound,
        tried: &'a [TargetKey],
        now: MonoTime,
    ) -> PlacementQuery<'a> {
        let service = plan.service.as_str();
        // A version that is not proved gets first attempts only.
        let version_draw = if tried.is_empty() { plan.version_draw } else { 1.0 };
        PlacementQuery {
            service,
            prompt_tokens: details.tokens.map_or(0, |tokens| tokens.prompt),
            output_tokens: details.tokens.map_or(0, |tokens| tokens.output),
            tokens_per_event: plan.tokens_per_event,
            left: plan.due.since(now),
            on_engine: plan.on_engine,
            target_latency: plan.target_latency,
            gap_target: plan.gap_target,
            is_contended: self.is_contended(service, regions.names(), now),
            tried,
            version: self.moves.filter(service, &plan.route, version_draw, now),
            regions: regions.names(),
            is_last_resort: false,
        }
    }
}
