use std::sync::Arc;

use arc_swap::ArcSwap;
use kwg_model::FleetSnapshot;

/// Holds the latest fleet snapshot, which traffic threads read without blocking.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetCell(Arc<ArcSwap<FleetSnapshot>>);

impl FleetCell {
    pub(crate) fn publish(&self, fleet: Arc<FleetSnapshot>) {
        self.0.store(fleet);
    }

    /// Returns the current snapshot, or `None` if it is the snapshot `seen`.
    pub(crate) fn changed_since(&self, seen: &Arc<FleetSnapshot>) -> Option<Arc<FleetSnapshot>> {
        let current = self.0.load();
        (!Arc::ptr_eq(&current, seen)).then(|| Arc::clone(&current))
    }
}
