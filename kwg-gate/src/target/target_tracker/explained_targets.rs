use kwg_model::MonoTime;

use super::TargetTracker;
use crate::target::pause_risk::PauseRisk;
use crate::target::placement;
use crate::target::target_state::TargetState;
use crate::{ExplainedTarget, Explanation, PlacementQuery};

/// Number of targets that an explanation lists: a screen of them, and a bound of its length.
const MAX_LISTED: usize = 32;

/// State of a target that takes the request.
const OPEN: &str = "open";

impl TargetTracker {
    /// Adds the targets of the query's service to an explanation.
    pub(crate) fn explain_targets(
        &self,
        query: &PlacementQuery<'_>,
        now: MonoTime,
        explanation: &mut Explanation,
    ) {
        let of_service = |state: &&TargetState| state.entry.service.as_str() == query.service;
        let assessed: Vec<_> = self
            .targets
            .values()
            .filter(of_service)
            .map(|state| (state, PauseRisk::assess(state, query)))
            .collect();
        let has_accepting = assessed.iter().any(|(state, _)| {
            state.takes_requests(now)
                && query.version.admits(&state.entry.version)
                && self.is_allowed(state, query)
                && state.health.accepts_requests(now)
        });
        let obstacle = |state: &TargetState| match state {
            _ if state.standing.is_leaving(now) => Some("leaving"),
            _ if !query.version.admits(&state.entry.version) => Some("other-version"),
            _ if !self.is_allowed(state, query) => Some("other-region"),
            _ if !state.takes_requests(now) => Some("paused"),
            _ if has_accepting && !state.health.accepts_requests(now) => Some("suspected"),
            _ => None,
        };
        let load_limit = self.load_limit(query, now);
        let state_of = |state: &TargetState| match obstacle(state) {
            Some(obstacle) => obstacle,
            None if !self.has_capacity(state, query, load_limit, now) => "full",
            None => OPEN,
        };
        let explained = |(state, risk): &(&TargetState, PauseRisk)| {
            let (terms, expected_ms) = placement::cost(state, query, *risk, &self.domains, now);
            let figures = state.speed.figures();
            ExplainedTarget {
                target: state.entry.id.to_string(),
                domain: state.entry.domain.clone(),
                version: state.entry.version.clone(),
                state: state_of(state).to_owned(),
                cost: terms.total(),
                terms,
                expected_ms,
                late_streams: risk.late_streams(),
                step_ms: figures.step_ms,
                step_weight: figures.step_weight,
                read_ms: figures.read_ms,
                unread_tokens: state.waiting_tokens(),
                load: state.load(),
                capacity: state.speed.capacity(),
                slots: state.entry.slots,
                evidence_age_ms: state.load_age(now).as_millis() as u64,
            }
        };
        let mut targets: Vec<ExplainedTarget> = assessed.iter().map(explained).collect();
        targets.sort_by(|one, other| {
            let order = |target: &ExplainedTarget| target.state != OPEN;
            order(one).cmp(&order(other)).then(one.cost.total_cmp(&other.cost))
        });
        explanation.omitted = targets.len().saturating_sub(MAX_LISTED);
        targets.truncate(MAX_LISTED);
        explanation.targets = targets;
    }
}
