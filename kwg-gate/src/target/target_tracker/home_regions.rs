use kwg_model::MonoTime;

use super::TargetTracker;
use crate::target::target_state::TargetState;
use crate::{PlacementQuery, TargetKey};

impl TargetTracker {
    /// Whether a target lies in a region where the request may run.
    pub(super) fn is_allowed(&self, state: &TargetState, query: &PlacementQuery<'_>) -> bool {
        self.domains.is_within(&state.entry.domain, query.regions)
    }

    /// Whether a failure domain of the settings lies in a region.
    #[must_use]
    pub fn has_region(&self, name: &str) -> bool {
        self.domains.regions.values().any(|region| region == name)
    }

    /// Whether a target lies in one of some regions; false if it is not known.
    pub(crate) fn lies_within(&self, key: TargetKey, regions: Option<&[String]>) -> bool {
        let is_within = |state: &TargetState| self.domains.is_within(&state.entry.domain, regions);
        regions.is_none() || self.targets.get(key).is_some_and(is_within)
    }

    /// Whether all targets of the service that do not leave, at least one, lie outside of the regions where the
    /// request may run.
    pub(crate) fn is_out_of_regions(&self, query: &PlacementQuery<'_>, now: MonoTime) -> bool {
        let mut staying = self.staying(query.service, now).peekable();
        query.regions.is_some()
            && staying.peek().is_some()
            && !staying.any(|state| self.is_allowed(state, query))
    }

    /// Number of free slots of a service in some regions that this instance may take, those of cold targets left out.
    #[must_use]
    pub fn free_slots_within(
        &self,
        service: &str,
        regions: Option<&[String]>,
        now: MonoTime,
    ) -> u32 {
        let open = self.open_within(service, regions, now);
        open.map(TargetState::usable_slots).sum()
    }

    /// Number of free slots of a service in some regions, whoever may take them. Slots beyond what a target takes well are
    /// not free: with them a full fleet with slow targets would never count as contended.
    pub(crate) fn idle_slots_within(
        &self,
        service: &str,
        regions: Option<&[String]>,
        now: MonoTime,
    ) -> u32 {
        let open = self.open_within(service, regions, now);
        open.map(|state| state.speed.capacity().saturating_sub(state.load())).sum()
    }

    /// The targets of a service that do not leave.
    pub(super) fn staying<'a>(
        &'a self,
        service: &'a str,
        now: MonoTime,
    ) -> impl Iterator<Item = &'a TargetState> {
        let of_service = move |state: &&TargetState| state.entry.service.as_str() == service;
        let staying = move |state: &&TargetState| !state.standing.is_leaving(now);
        self.targets.values().filter(of_service).filter(staying)
    }

    fn open_within<'a>(
        &'a self,
        service: &'a str,
        regions: Option<&'a [String]>,
        now: MonoTime,
    ) -> impl Iterator<Item = &'a TargetState> {
        let open = move |state: &&TargetState| {
            state.takes_requests(now)
                && !state.is_cold(now)
                && self.domains.is_within(&state.entry.domain, regions)
        };
        self.staying(service, now).filter(open)
    }
}
