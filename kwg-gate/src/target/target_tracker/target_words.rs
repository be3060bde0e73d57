use std::time::Duration;

use kwg_model::MonoTime;

use super::TargetTracker;
use crate::{PlacementQuery, StandingState, TargetId, TargetKey, TargetWord};

impl TargetTracker {
    /// Time until the first pause of the targets that may serve a request ends, if all that do not leave are paused.
    #[must_use]
    pub fn pause_left(&self, query: &PlacementQuery<'_>, now: MonoTime) -> Option<Duration> {
        let staying = self.staying(query.service, now);
        let staying = staying.filter(|state| self.is_allowed(state, query));
        let ends = staying.map(|state| match state.standing.state(now) {
            StandingState::Paused { until } => until,
            _ => now,
        });
        ends.min().filter(|end| *end > now).map(|end| end.since(now))
    }

    /// Whether a target is known, does not leave and does not pause.
    #[must_use]
    pub fn is_open(&self, key: TargetKey, now: MonoTime) -> bool {
        self.standing(key, now) == Some(StandingState::Open)
    }

    /// Whether a target takes requests, and who says so; none if it is not known.
    #[must_use]
    pub fn standing(&self, key: TargetKey, now: MonoTime) -> Option<StandingState> {
        self.targets.get(key).map(|state| state.standing.state(now))
    }

    /// Applies what a target says of itself; returns its state if that has changed.
    pub fn record_word(
        &mut self,
        key: TargetKey,
        word: TargetWord,
        now: MonoTime,
    ) -> Option<StandingState> {
        let standing = &mut self.targets.get_mut(key)?.standing;
        let before = standing.state(now);
        standing.record_word(word, now);
        let after = standing.state(now);
        (before != after).then_some(after)
    }

    /// Number of targets that are said to leave although the store has listed them as ready for half a minute
    /// since.
    #[must_use]
    pub fn doubtful_count(&self, now: MonoTime) -> usize {
        self.targets.values().filter(|state| state.standing.is_doubtful(now)).count()
    }

    /// Those of them that have not been returned before.
    pub fn take_doubtful(&mut self, now: MonoTime) -> Vec<TargetId> {
        let states = self.targets.values_mut();
        let doubtful = states
            .filter_map(|state| state.standing.take_doubt(now).then(|| state.entry.id.clone()));
        doubtful.collect()
    }
}
