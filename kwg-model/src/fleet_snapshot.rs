use std::collections::{BTreeMap, BTreeSet};

use crate::{HomeAddress, InstanceName, PeerView, PoolName, TableSet, TargetName, VersionName};

/// The immutable view that the control core publishes and the traffic cores read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetSnapshot {
    /// The tables in force.
    pub tables: TableSet,
    /// The routers heard from within the heartbeat timeout, without this one.
    pub peers: BTreeMap<InstanceName, PeerView>,
    /// Targets that are leaving and get no new work.
    pub leaving: BTreeSet<TargetName>,
    /// Ledgers that were handed over, and where they are now.
    pub moved: BTreeMap<HomeAddress, HomeAddress>,
    /// Runs of routers that have ended: another run of the same instance came after them.
    pub ended: BTreeSet<(InstanceName, u64)>,
    /// Fingerprints of requests that crashed one target after the other.
    pub poison: BTreeSet<u64>,
    /// Versions that get no traffic because a brake is on.
    pub braked: BTreeSet<(PoolName, VersionName)>,
}

impl FleetSnapshot {
    /// How many routers share each target, this one among them.
    #[must_use]
    pub fn router_count(&self) -> u64 {
        1 + self.peers.values().filter(|peer| peer.serving).count() as u64
    }

    /// Whether this run of the address's instance was heard from lately.
    #[must_use]
    pub fn is_alive(&self, address: &HomeAddress) -> bool {
        let peer = self.peers.get(&address.instance);
        peer.is_some_and(|peer| peer.incarnation == address.incarnation)
    }

    /// Whether another run of the address's instance came after this one, so that it has ended.
    ///
    /// Another run alone does not tell: the address may be the later one.
    #[must_use]
    pub fn is_replaced(&self, address: &HomeAddress) -> bool {
        self.ended.contains(&(address.instance.clone(), address.incarnation))
    }
}
