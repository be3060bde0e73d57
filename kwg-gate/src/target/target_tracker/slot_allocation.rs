use kwg_model::MonoTime;

use super::TargetTracker;
use crate::InstanceMap;
use crate::target::draw_sequence::DrawSequence;
use crate::target::slot_share::SlotShare;

impl TargetTracker {
    /// Updates the live instances and reallocates all slots among them.
    pub fn set_instances(&mut self, instances: &InstanceMap) {
        if self.instances != *instances {
            self.cold.record_change();
        }
        self.instances = instances.clone();
        self.allocate_slots();
        self.place_cold();
    }

    /// Claims this instance's share of the slots that their owners leave idle, until the next
    /// reports. `share` returns this instance's share for a service. `has_waiting` returns whether
    /// requests wait at a peer for a service, or `None` if that is unknown.
    pub fn claim_slots(
        &mut self,
        share: impl Fn(&str) -> f64,
        has_waiting: impl Fn(&str, &str) -> Option<bool>,
        draw: f64,
        now: MonoTime,
    ) {
        self.refresh_speeds(now);
        let mut draws = DrawSequence(draw);
        for state in self.targets.values_mut() {
            let service = state.entry.service.as_str();
            let is_local = state.entry.domain == self.domains.own;
            let lendable = state.lendable_slots(|peer| has_waiting(peer, service), is_local);
            // What a cold target may get is limited by its rate, not by its slots.
            let lendable = if state.is_cold(now) { 0 } else { lendable };
            let share = share(service) * state.claim_rate(now);
            state.share.refresh(lendable, share, draws.next());
        }
    }

    pub(super) fn allocate_slots(&mut self) {
        let domains = &self.domains;
        for state in self.targets.values_mut() {
            let entry = &state.entry;
            let owners = self.instances.owners(&entry.domain, |a, b| domains.share_region(a, b));
            let allocated = SlotShare::allocate(entry.id.as_str(), entry.slots, &owners);
            state.set_owners(allocated, &self.instances.own);
        }
    }
}
