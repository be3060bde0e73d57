use std::collections::{BTreeMap, BTreeSet};

use crate::{InstanceName, PeerView, TableSet, TargetName, VersionName};

/// The immutable view that the control core publishes and the traffic cores read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetSnapshot {
    /// The tables in force.
    pub tables: TableSet,
    /// The routers heard from within the heartbeat timeout, without this one.
    pub peers: BTreeMap<InstanceName, PeerView>,
    /// Targets that are leaving and get no new work.
    pub leaving: BTreeSet<TargetName>,
    /// Versions that get no traffic because a brake is on.
    pub braked: BTreeSet<VersionName>,
}

impl FleetSnapshot {
    /// How many routers share each target, this one among them.
    #[must_use]
    pub fn router_count(&self) -> u64 {
        1 + self.peers.values().filter(|peer| peer.serving).count() as u64
    }

    /// The run of `instance` that was last heard from.
    #[must_use]
    pub fn peer(&self, instance: &InstanceName) -> Option<&PeerView> {
        self.peers.get(instance)
    }
}
