use std::sync::Arc;

use arc_swap::ArcSwap;
use kwg_model::FleetSnapshot;

/// The last published view of the fleet, which traffic threads read without waiting.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetCell(Arc<ArcSwap<FleetSnapshot>>);

impl FleetCell {
    pub(crate) fn publish(&self, fleet: Arc<FleetSnapshot>) {
        self.0.store(fleet);
    }

    /// The view, if it is another one than `seen`.
    pub(crate) fn news(&self, seen: &Arc<FleetSnapshot>) -> Option<Arc<FleetSnapshot>> {
        let current = self.0.load();
        (!Arc::ptr_eq(&current, seen)).then(|| Arc::clone(&current))
    }
}
