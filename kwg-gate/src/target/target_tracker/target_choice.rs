use std::time::Duration;

use kwg_model::MonoTime;

use super::TargetTracker;
use super::version_targets::part_place;
use crate::target::pause_risk::PauseRisk;
use crate::target::placement;
use crate::target::target_state::TargetState;
use crate::{Placement, PlacementDecision, PlacementQuery, TargetKey};

/// Upper bound of the random amount added to the cost of a target at which this instance owns an
/// idle slot: less than the cost of one more slot in use in a batch.
const OWNED_JITTER: f64 = 0.01;
/// The same for a target at which it owns no idle slot: about the cost of a few more slots in use.
const BORROWED_JITTER: f64 = 0.15;

impl TargetTracker {
    /// Chooses the target with the lowest cost among those with a slot that this instance may take.
    /// Targets of earlier attempts are excluded, and paused ones unless all are paused. `draw` is a
    /// random number in [0, 1).
    #[must_use]
    pub fn place(&self, query: &PlacementQuery<'_>, now: MonoTime, draw: f64) -> PlacementDecision {
        let fits = |state: &TargetState| {
            state.entry.service.as_str() == query.service
                && !state.standing.is_leaving(now)
                && query.version.admits(&state.entry.version)
        };
        let last = self.last_of_part(query.version, fits, now);
        let untried = |(key, state): &(TargetKey, &TargetState)| {
            fits(state)
                && self.is_allowed(state, query)
                && !query.tried.contains(key)
                && last.is_none_or(|last| part_place(state, now) <= last)
        };
        let candidates = || self.targets.iter().filter(untried);
        let takes_requests = |(_, state): &(TargetKey, &TargetState)| state.takes_requests(now);
        let open = || candidates().filter(takes_requests);
        let accepts = |state: &TargetState| state.health.accepts_requests(now);
        let any_accepts = open().any(|(_, state)| accepts(state));
        // If every target is suspected of a fault, the best of them is still better than a refusal.
        let accepting = open().filter(|(_, state)| !any_accepts || accepts(state));
        let load_limit = self.load_limit(query, now);
        let with_capacity = accepting
            .filter(|(_, state)| self.has_capacity(state, query, load_limit, now))
            .map(|(key, state)| (key, state, PauseRisk::assess(state, query)));
        match self.cheapest(with_capacity, query, now, draw) {
            Some(placement) => PlacementDecision::Send(placement),
            None if candidates().next().is_none() => PlacementDecision::NoTarget,
            None => PlacementDecision::Full,
        }
    }

    /// Whether one more request may be sent to a target, as far as its load goes.
    pub(super) fn has_capacity(
        &self,
        state: &TargetState,
        query: &PlacementQuery<'_>,
        load_limit: Option<u32>,
        now: MonoTime,
    ) -> bool {
        let is_local = state.entry.domain == self.domains.own;
        match (query.on_engine, load_limit) {
            // A few targets would reach the limit too late if each instance used its own slots only.
            (true, Some(limit)) => state.load() < limit.min(state.entry.slots),
            (true, None) => {
                state.has_cold_slot(now)
                    || state.has_capacity(query.is_contended, is_local)
                    || (query.is_last_resort && state.has_last_capacity())
            }
            (false, limit) => {
                limit.is_none_or(|limit| state.load() < limit)
                    && state.is_served_in_time(query.target_latency)
            }
        }
    }

    /// Shortest expected time until the first event, or until the answer, if a slot were free, over
    /// all targets of the service in the allowed regions that are not draining; cold ones only if all
    /// are. Their version, health and earlier attempts are ignored. 1000 s if there is no such target.
    #[must_use]
    pub fn best_expected(&self, query: &PlacementQuery<'_>, now: MonoTime) -> Duration {
        self.shortest(query, now, |state| {
            placement::work_ms(state, query, self.domains.distance(&state.entry.domain))
        })
    }

    /// The expected time at a chosen target. A target without measurements is taken to be no quicker
    /// than the quickest one of its service that has some.
    pub(crate) fn cautious_expected(
        &self,
        query: &PlacementQuery<'_>,
        placement: &Placement,
        now: MonoTime,
    ) -> Duration {
        let is_measured = |state: &TargetState| state.is_measured(query.on_engine);
        let fits = |state: &&TargetState| {
            state.entry.service.as_str() == query.service
                && !state.standing.is_leaving(now)
                && self.is_allowed(state, query)
        };
        let has_measured = self.targets.values().filter(fits).any(is_measured);
        if !has_measured || self.targets.get(placement.target).is_none_or(is_measured) {
            return placement.expected;
        }
        let quickest = self.shortest(query, now, |state| match is_measured(state) {
            true => placement::work_ms(state, query, self.domains.distance(&state.entry.domain)),
            false => f64::INFINITY,
        });
        quickest.max(placement.expected)
    }

    /// Expected time until the end of the answer, of the most tokens that it may have, at one target; none
    /// if that is gone.
    pub(crate) fn expected_answer(&self, query: &PlacementQuery<'_>, key: TargetKey) -> Duration {
        let expected = self.targets.get(key).map(|state| {
            placement::answer_ms(state, query, self.domains.distance(&state.entry.domain))
        });
        Duration::from_secs_f64(expected.unwrap_or(0.0).min(1e6) / 1e3)
    }

    /// Shortest expected time until the end of the answer, of the most tokens that it may have; as
    /// [`Self::best_expected`] otherwise.
    #[must_use]
    pub fn best_answer(&self, query: &PlacementQuery<'_>, now: MonoTime) -> Duration {
        self.shortest(query, now, |state| {
            placement::answer_ms(state, query, self.domains.distance(&state.entry.domain))
        })
    }

    fn shortest(
        &self,
        query: &PlacementQuery<'_>,
        now: MonoTime,
        time_ms: impl Fn(&TargetState) -> f64,
    ) -> Duration {
        let states =
            || self.staying(query.service, now).filter(|state| self.is_allowed(state, query));
        // What cold targets may get is used up at once while requests wait.
        let any_warm = states().any(|state| !state.is_cold(now));
        let states = states().filter(|state| !any_warm || !state.is_cold(now));
        let shortest = states.map(time_ms).fold(f64::INFINITY, f64::min);
        Duration::from_secs_f64(shortest.min(1e6) / 1e3)
    }

    fn cheapest<'a>(
        &self,
        candidates: impl Iterator<Item = (TargetKey, &'a TargetState, PauseRisk)>,
        query: &PlacementQuery<'_>,
        now: MonoTime,
        draw: f64,
    ) -> Option<Placement> {
        let mut best: Option<(f64, Placement)> = None;
        for (index, (key, state, risk)) in candidates.enumerate() {
            let (cost, expected) = placement::cost(state, query, risk, &self.domains, now);
            // The jitter keeps instances that see the same reports from choosing the same target.
            // There is more of it if another instance owns the slot.
            let jitter = if state.has_idle_owned_slot() { OWNED_JITTER } else { BORROWED_JITTER };
            let cost = cost.total() + jitter * (draw * 7_919.0 * (index as f64 + 1.0)).fract();
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                let placement = Placement {
                    target: key,
                    expected: Duration::from_secs_f64(expected / 1e3),
                    load: state.load(),
                    load_age: state.load_age(now),
                    known_ends: 0,
                    chosen: now,
                };
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// Number of free slots of a service that this instance may take.
    #[must_use]
    pub fn free_slots(&self, service: &str, now: MonoTime) -> u32 {
        self.free_slots_within(service, None, now)
    }
}
