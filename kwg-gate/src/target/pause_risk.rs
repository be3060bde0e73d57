use super::target_state::TargetState;
use crate::PlacementQuery;

/// Ratio of the predicted pause to the promised one up to which no stream is expected to be late.
const SAFE_PAUSE: f64 = 0.7;
/// Ratio from which on every stream is expected to be late.
const LATE_PAUSE: f64 = 1.2;
/// Number of events from which on a stream has the usual longest pause of its target; a shorter one meets fewer
/// prompts.
const EXPOSED_EVENTS: f64 = 16.0;

/// Part of the predicted late neighbours that counts: an engine spreads the reading of a prompt over several events, and a
/// full count sends long prompts to slow engines, where they are late themselves.
const NEIGHBOUR_WEIGHT: f64 = 0.25;
/// The most that late neighbours count: as much as the request's own answer.
const MAX_NEIGHBOURS: f64 = 1.0;

/// Streams that are expected to be late by a pause if a request is sent to a target.
///
/// An engine reads prompts between the steps of the running streams, so a prompt delays the next event of each of
/// them. The load pattern: engines at 0.55, 1 and 2.8 times the usual speed run as many requests each, and half of all
/// late pauses occur at the slow ones, which give an eighth of the answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct PauseRisk {
    /// Running streams that the request is expected to make late.
    pub(crate) neighbours: f64,
    /// The share of such requests that are late by a pause themselves.
    pub(crate) own: f64,
}

impl PauseRisk {
    /// The risk of a request at a target; none for a request that promises no pause.
    pub(crate) fn assess(state: &TargetState, query: &PlacementQuery<'_>) -> Self {
        let promised_ms = match query.gap_target {
            Some(promised) if query.on_engine => promised.as_secs_f64() * 1e3,
            _ => return Self::default(),
        };
        let event_ms = query.tokens_per_event * state.ms_per_token();
        let read_ms = state.read_ms_per_token();
        let late_share = |pause_ms: f64| {
            ((pause_ms / promised_ms - SAFE_PAUSE) / (LATE_PAUSE - SAFE_PAUSE)).clamp(0.0, 1.0)
        };
        let before_ms = event_ms + state.waiting_tokens() as f64 * read_ms;
        let next_event_ms = query.tokens_per_event * state.speed.next_step_ms();
        let after_ms = before_ms - event_ms + next_event_ms + query.prompt_tokens as f64 * read_ms;
        let delayed = late_share(after_ms) - late_share(before_ms);
        let events = query.output_tokens as f64 / query.tokens_per_event.max(1.0);
        let exposure = (events / EXPOSED_EVENTS).min(1.0);
        let longest_ms = state.longest_gap_ms().max(event_ms);
        Self {
            neighbours: f64::from(state.load()) * delayed,
            own: exposure * late_share(longest_ms),
        }
    }

    /// Number of streams that are expected to be late, as far as they count.
    pub(crate) fn late_streams(self) -> f64 {
        (NEIGHBOUR_WEIGHT * self.neighbours).min(MAX_NEIGHBOURS) + self.own
    }
}
