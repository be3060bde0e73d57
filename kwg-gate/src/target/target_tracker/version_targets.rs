use std::collections::HashMap;

use kwg_model::MonoTime;

use super::TargetTracker;
use crate::target::target_state::TargetState;
use crate::{PlacementQuery, ServiceName, TargetCode, VersionFilter, VersionPresence};

impl TargetTracker {
    /// Versions of the targets of a service, which may be repeated.
    pub fn versions(&self, service: &ServiceName) -> impl Iterator<Item = &str> {
        let entries = self.targets.values().map(|state| &state.entry);
        entries.filter(|entry| entry.service == *service).map(|entry| entry.version.as_str())
    }

    /// Whether a version of a service has targets that are not draining, and whether others have any. Targets of
    /// an evacuated domain count: they stay, and the move is not to be rolled back for lack of them.
    #[must_use]
    pub fn presence(&self, service: &ServiceName, version: &str, now: MonoTime) -> VersionPresence {
        let mut of_service = self.targets.values().filter(|state| state.entry.service == *service);
        let is_version = |state: &TargetState| state.entry.version == version;
        let stays = |state: &TargetState| {
            !state.standing.is_leaving(now) || state.standing.is_only_evacuated(now)
        };
        if !of_service.clone().any(|state| is_version(state) && stays(state)) {
            VersionPresence::Absent
        } else if of_service.all(is_version) {
            VersionPresence::Sole
        } else {
            VersionPresence::Beside
        }
    }

    /// Number of targets of the version of a service that has most of them.
    #[must_use]
    pub fn largest_version(&self, service: &ServiceName) -> u32 {
        let mut counts: HashMap<&str, u32> = HashMap::new();
        let of_service = |state: &&TargetState| state.entry.service == *service;
        for state in self.targets.values().filter(of_service) {
            *counts.entry(state.entry.version.as_str()).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }

    /// Number of requests of a service that run at targets of other versions than `version`. At least one
    /// while such targets are evacuated and take requests otherwise: that nothing runs there does not show that
    /// they are no longer needed.
    #[must_use]
    pub fn running_on_others(&self, service: &ServiceName, version: &str, now: MonoTime) -> u32 {
        let others = self
            .targets
            .values()
            .filter(|state| state.entry.service == *service && state.entry.version != version);
        others
            .clone()
            .map(TargetState::load)
            .sum::<u32>()
            .max(u32::from(others.clone().any(|state| state.standing.is_only_evacuated(now))))
    }

    /// The last of the targets that belong to the part of a version, paused ones last; none if all belong to
    /// it. All instances choose the same targets, as far as they agree which of them are paused.
    pub(super) fn last_of_part(
        &self,
        filter: VersionFilter<'_>,
        fits: impl Fn(&TargetState) -> bool,
        now: MonoTime,
    ) -> Option<(bool, TargetCode)> {
        let VersionFilter::Part { targets, .. } = filter else { return None };
        let fitting = self.targets.values().filter(|state| fits(state));
        let mut places: Vec<_> = fitting.map(|state| part_place(state, now)).collect();
        places.sort_unstable();
        places.get(targets.max(1) as usize - 1).copied()
    }

    /// Number of requests at which a target of a part of a version is full: the mean number at targets of
    /// other versions, rounded up.
    pub(super) fn load_limit(&self, query: &PlacementQuery<'_>, now: MonoTime) -> Option<u32> {
        let VersionFilter::Part { version, .. } = query.version else { return None };
        let others = self.targets.values().filter(|state| {
            state.entry.service.as_str() == query.service
                && state.entry.version != version
                && !state.standing.is_leaving(now)
        });
        let add = |(sum, count), state: &TargetState| (sum + state.load(), count + 1);
        let (sum, count) = others.fold((0_u32, 0), add);
        (count > 0).then(|| sum.div_ceil(count).max(1))
    }
}

/// Place of a target among those of a version, of which a part takes the first ones.
pub(super) fn part_place(state: &TargetState, now: MonoTime) -> (bool, TargetCode) {
    (!state.health.accepts_requests(now), TargetCode::of(state.entry.id.as_str()))
}
