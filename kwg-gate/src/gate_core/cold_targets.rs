use kwg_model::MonoTime;

use super::GateCore;
use crate::ColdChange;
use crate::target::ColdView;

impl GateCore {
    /// Applies how much of the fleet this instance is in touch with to its shares of the rate of cold targets. One that has
    /// not heard a peer since its start has none, unless it is the only instance.
    pub(super) fn refresh_cold(&mut self, now: MonoTime) {
        let is_alone = self.targets.instances().size() == 1;
        let view = ColdView {
            reachable: self.peers.reachable(),
            fleet: self.fleet_size.max(self.peers.instances()),
            has_heard: is_alone || self.peers.instances() > 1,
        };
        self.targets.refresh_cold(view, now);
    }

    /// Number of placements that passed over cold targets since the last call.
    pub fn take_passed_cold(&mut self) -> u64 {
        std::mem::take(&mut self.passed_cold)
    }

    /// The targets that have become cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now: MonoTime) -> Vec<ColdChange> {
        self.targets.take_cold_changes(now)
    }
}
