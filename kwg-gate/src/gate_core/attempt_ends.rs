use kwg_model::MonoTime;

use super::GateCore;
use crate::session::{AttemptEnd, RoutePlan};
use crate::{AnswerOutcome, AttemptEvidence, AttemptSample, RequestDetails, TargetKey};

impl GateCore {
    /// Records that an attempt has ended without a complete answer.
    pub(crate) fn record_attempt_end(
        &mut self,
        details: &RequestDetails,
        plan: &RoutePlan,
        end: AttemptEnd<'_>,
        now: MonoTime,
    ) {
        let (target, evidence) = (end.placement.target, end.evidence);
        if evidence == AttemptEvidence::Cut {
            self.targets.record_break(target, now);
        }
        // While it was being connected, the target was found to leave, to pause or to be cold, or the request may not run
        // there any more.
        let is_withheld = !self.targets.is_open(target, now)
            || self.targets.turned_cold(target, end.placement.chosen, now)
            || !self.is_in_regions(details, plan, target)
            || self.refuses(details, plan, now);
        if evidence == AttemptEvidence::NotSent && is_withheld {
            return;
        }
        match evidence {
            // A declined request indicates load, not a fault, and an expired deadline or a withdrawn
            // request is no evidence about the target.
            AttemptEvidence::Declined | AttemptEvidence::TimedOut | AttemptEvidence::Withdrawn => {}
            _ => self.targets.record_failure(target, now),
        }
        self.record_possible_end(details, end, now);
        self.count_end_for_move(details, plan, target, evidence, now);
    }

    /// Records that an attempt has ended with a complete answer.
    pub(crate) fn record_answer(
        &mut self,
        details: &RequestDetails,
        plan: &RoutePlan,
        target: TargetKey,
        sample: &AttemptSample,
        now: MonoTime,
    ) {
        let prompt_tokens = details.tokens.map_or(0, |tokens| tokens.prompt);
        let pace_ms = sample.pace_ms(prompt_tokens, plan.on_engine);
        self.record_no_end(details, target, sample, now);
        self.targets.record_success(target, sample, now);
        if plan.on_engine {
            let event_tokens = plan.tokens_per_event;
            self.targets.record_reading(target, prompt_tokens, event_tokens, sample, now);
        }
        let outcome = AnswerOutcome::Delivered { pace_ms };
        self.count_for_move(target, &plan.route, details.arrived, outcome);
    }
}
