use std::time::Duration;

use kwg_model::MonoTime;

use super::GateCore;
use crate::session::RoutePlan;
use crate::{
    AttemptPermit, ExplainQuery, Explanation, FinalOutcome, FleetView, PlacementDecision,
    RefusalReason, RequestDetails, TokenCount,
};

impl GateCore {
    /// Where a request would go now, and why. Nothing is sent, counted or changed.
    #[must_use]
    pub fn explain(&self, query: &ExplainQuery, draw: f64, now: MonoTime) -> Explanation {
        let mut explanation = Explanation::default();
        if let Err(outcome) = self.explain_steps(query, draw, now, &mut explanation) {
            explanation.outcome = "refuse".to_owned();
            explanation.reason = Some(outcome.as_str().to_owned());
            if let FinalOutcome::Refused { retry_after, .. } = outcome {
                explanation.retry_after_ms = retry_after.map(|time| time.as_millis() as u64);
            }
        }
        explanation
    }

    /// Adds each step of the request's way; the outcome if it would be refused.
    fn explain_steps(
        &self,
        query: &ExplainQuery,
        draw: f64,
        now: MonoTime,
        explanation: &mut Explanation,
    ) -> Result<(), FinalOutcome> {
        let refused = |reason| Err(FinalOutcome::refused(reason));
        let Some(table) = &self.table else { return refused(RefusalReason::NoTable) };
        let Some(route) = table.route_of(&query.host, &query.path) else {
            return refused(RefusalReason::NoRoute);
        };
        explanation.route = Some(route.name.clone());
        let account = match &query.account {
            Some(name) => table.accounts().find(|account| account.label.as_str() == name),
            None => None,
        };
        let needs_account = !route.allows_anonymous && table.accounts().next().is_some();
        if account.is_none() && (query.account.is_some() || needs_account) {
            return refused(RefusalReason::UnknownKey);
        }
        let Some(service) = route.service_for(draw) else {
            return refused(RefusalReason::NoRoute);
        };
        let tokens = TokenCount { prompt: query.prompt_tokens, output: query.output_tokens };
        let details = RequestDetails {
            id: "explain".to_owned(),
            host: query.host.clone(),
            path: query.path.clone(),
            key: None,
            parts: Vec::new(),
            tokens: (tokens != TokenCount::default()).then_some(tokens),
            arrived: now,
            deadline: now + route.timeout,
            fingerprint: 0,
        };
        let bound = account.map(|account| &account.regions);
        let plan = RoutePlan {
            regions: bound.map_or_else(|| route.regions.clone(), |bound| route.regions.and(bound)),
            rank: route.wait_rank(account.and_then(|account| account.rank), false),
            ..RoutePlan::new(table, route, service, &details)
        };
        explanation.service = Some(service.to_string());
        explanation.rank = Some(plan.rank);
        explanation.waiting_here = self.waiting.count(service.as_str());
        explanation.waiting_elsewhere = self.peers.waiting(service.as_str());
        if let Some((account, quota)) = account.and_then(|own| Some((own, own.quota?))) {
            // The account is charged in a copy.
            let fleet = FleetView { size: self.fleet_size, reachable: self.peers.reachable() };
            let units = quota.units(details.tokens);
            let taken = self.quotas.clone().take(&account.label, &quota, units, fleet, now);
            taken.map_err(|wait| FinalOutcome::refused_until(RefusalReason::OverQuota, wait))?;
        }
        let placement = self.placement_query(&details, &plan, &plan.regions, &[], now);
        self.targets.explain_targets(&placement, now, explanation);
        if self.has_ended(now) {
            return Err(FinalOutcome::stopping());
        }
        if let Some(until) = self.joining_end(now) {
            explanation.wait("joining", until.min(plan.due).since(now));
            return Ok(());
        }
        let permit = AttemptPermit::new(plan.kind, route.max_attempts);
        match self.choose_target(&plan, &permit, &placement, draw, now) {
            PlacementDecision::Send(chosen) => {
                explanation.outcome = "send".to_owned();
                explanation.target =
                    self.targets.entry(chosen.target).map(|entry| entry.id.to_string());
                Ok(())
            }
            PlacementDecision::NoTarget => refused(self.no_target_reason(&placement, now)),
            PlacementDecision::Full => {
                let (until, outcome) = self.wait_limit(&details, &plan, &permit, &placement, now);
                if until <= now {
                    return Err(outcome);
                }
                explanation.wait(outcome.as_str(), until.since(now));
                Ok(())
            }
        }
    }
}

impl Explanation {
    fn wait(&mut self, reason: &str, time: Duration) {
        self.outcome = "wait".to_owned();
        self.reason = Some(reason.to_owned());
        self.wait_ms = Some(time.as_millis() as u64);
    }
}
