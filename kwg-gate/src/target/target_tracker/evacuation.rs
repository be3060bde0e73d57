use std::time::Duration;

use kwg_model::MonoTime;

use super::TargetTracker;
use crate::target::placement;
use crate::{EvacuatedDomains, PlacementQuery};

impl TargetTracker {
    /// Sets the evacuated failure domains. What runs at their targets goes on.
    pub fn set_evacuated(&mut self, domains: &EvacuatedDomains) {
        self.evacuated = domains.clone();
        self.apply_evacuation();
    }

    pub(super) fn apply_evacuation(&mut self) {
        for state in self.targets.values_mut() {
            let is_evacuated = self.evacuated.contains(&state.entry.domain);
            state.standing.record_evacuation(is_evacuated);
        }
    }

    /// Shortest expected time until the first event, or until the answer, at the targets of a service that
    /// take no requests only because their domain is evacuated; none if there are none. Such an evacuation
    /// may be taken back while a request waits.
    pub(crate) fn best_evacuated(
        &self,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Option<Duration> {
        let states = self.targets.values().filter(|state| {
            state.entry.service.as_str() == query.service && state.standing.is_only_evacuated(now)
        });
        let times = states.map(|state| {
            placement::work_ms(state, query, self.domains.distance(&state.entry.domain))
        });
        let shortest = times.reduce(f64::min)?;
        Some(Duration::from_secs_f64(shortest.min(1e6) / 1e3))
    }
}
