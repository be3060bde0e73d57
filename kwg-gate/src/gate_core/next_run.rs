use kwg_model::MonoTime;

use super::{CAPACITY_RETRY, GateCore};
use crate::session::RoutePlan;
use crate::{
    AttemptPermit, FinalOutcome, PlacementDecision, PlacementQuery, RefusalReason, RequestDetails,
};

/// Share of a pause by which the return of callers that are refused in it is spread.
const RETURN_SPREAD: f64 = 0.5;

impl GateCore {
    /// Chooses a target: an untried one, of the version of the query if possible; else, after a pause,
    /// one that has been tried, if the request may have run.
    pub(super) fn choose_target(
        &self,
        plan: &RoutePlan,
        permit: &AttemptPermit,
        query: &PlacementQuery<'_>,
        draw: f64,
        now: MonoTime,
    ) -> PlacementDecision {
        let decision = self.choose_version(query, draw, now);
        let may_ask_again = permit.may_have_run() && !permit.is_return();
        match plan.excluded_again(now) {
            Some(tried) if may_ask_again && decision == PlacementDecision::NoTarget => {
                self.choose_version(&PlacementQuery { tried, ..*query }, draw, now)
            }
            _ => decision,
        }
    }

    /// Chooses a target of the version that is drawn for the request, or of another one if that has none.
    fn choose_version(
        &self,
        query: &PlacementQuery<'_>,
        draw: f64,
        now: MonoTime,
    ) -> PlacementDecision {
        let decision = self.targets.place(query, now, draw);
        let may_serve_old = decision == PlacementDecision::Full
            && self.moves.serves_both(query.service, query.version);
        if decision != PlacementDecision::NoTarget && !may_serve_old {
            return decision;
        }
        let decide = |version| self.targets.place(&PlacementQuery { version, ..*query }, now, draw);
        let has_target = |decision: &PlacementDecision| *decision != PlacementDecision::NoTarget;
        let fallbacks = self.moves.fallbacks(query.service, query.version);
        fallbacks.map(decide).find(has_target).unwrap_or(decision)
    }

    /// Until when a request may wait for a slot, and its outcome after that. Before its first run it
    /// waits as long as its answer can be on time, later as long as its answer can end, and never
    /// longer than the answer can end before a stopping instance does. Of a stream that has run only
    /// the next event is expected: how much of it the caller has is not known here.
    pub(super) fn wait_limit(
        &self,
        details: &RequestDetails,
        plan: &RoutePlan,
        permit: &AttemptPermit,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> (MonoTime, FinalOutcome) {
        let expected = self.targets.best_expected(query, now);
        let rest = match permit.may_have_run() && plan.kind.is_stream() {
            true => expected,
            false => self.targets.best_answer(query, now),
        };
        let first = plan.wait_until(details, expected);
        let until = match permit.may_have_run() {
            true => plan.next_run_until(rest).max(first),
            false => first,
        };
        match self.last_start(rest) {
            Some(last) if last < until => (last, FinalOutcome::stopping()),
            _ => (until, FinalOutcome::refused_until(RefusalReason::Overloaded, CAPACITY_RETRY)),
        }
    }

    /// The outcome of a request that no target of a service takes. Callers that are refused in a pause of all
    /// targets return when it is over, one after the other.
    pub(super) fn refused_in_pause(
        &self,
        outcome: FinalOutcome,
        query: &PlacementQuery<'_>,
        draw: f64,
        now: MonoTime,
    ) -> FinalOutcome {
        let (FinalOutcome::Refused { reason, .. }, Some(left)) =
            (outcome, self.targets.pause_left(query, now))
        else {
            return outcome;
        };
        match reason {
            RefusalReason::Overloaded | RefusalReason::NoTarget => {
                FinalOutcome::refused_until(reason, left.mul_f64(1.0 + RETURN_SPREAD * draw))
            }
            _ => outcome,
        }
    }

    /// When a request for which no target is known is to be placed again, because one of its targets may
    /// be back or another one known by then; none if it does not wait for that.
    pub(super) fn next_look(
        &self,
        plan: &RoutePlan,
        permit: &AttemptPermit,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let until = plan.return_until().filter(|_| !permit.is_return())?;
        let until = self.end.map_or(until, |end| until.min(end));
        (now < until).then(|| plan.next_look(now).min(until))
    }

    /// Whether a request may be sent now as far as the retry budget goes: a retry that has waited counts in it when
    /// it is sent.
    pub(super) fn renew_retry(&mut self, plan: &RoutePlan, now: MonoTime) -> bool {
        let Some(taken) = plan.retry_taken else { return true };
        self.budget.renew(&plan.service, taken, self.budget_instances(), now)
    }

    /// Number of instances that share the extra retries: the most that were ever reached, and no fewer than are known to
    /// live. One that has just started has heard none of them yet.
    pub(super) fn budget_instances(&self) -> u32 {
        self.peers.instances().max(self.fleet_size)
    }
}
