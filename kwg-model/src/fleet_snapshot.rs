use std::collections::{BTreeMap, BTreeSet};

use crate::{HomeAddress, InstanceName, PeerView, PoolName, TableSet, TargetName, VersionName};

/// Immutable view of the fleet, published by the control core and read by the traffic cores.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FleetSnapshot {
    /// The tables in force.
    pub tables: TableSet,
    /// The other routers with a heartbeat within the timeout.
    pub peers: BTreeMap<InstanceName, PeerView>,
    /// Targets that are about to stop and get no new work.
    pub leaving: BTreeSet<TargetName>,
    /// Ledgers that were handed over, by home, with the core that keeps them now.
    pub moved: BTreeMap<HomeAddress, HomeAddress>,
    /// Incarnations that have ended because a later one of the same instance exists: the router's
    /// name and the incarnation.
    pub ended: BTreeSet<(InstanceName, u64)>,
    /// Fingerprints of requests that have crashed targets repeatedly.
    pub poison: BTreeSet<u64>,
    /// Versions that get no traffic because a circuit breaker has tripped.
    pub braked: BTreeSet<(PoolName, VersionName)>,
}

impl FleetSnapshot {
    /// Returns the number of routers that share each target, including this one.
    #[must_use]
    pub fn router_count(&self) -> u64 {
        1 + self.peers.values().filter(|peer| peer.serving).count() as u64
    }

    /// Returns whether the incarnation given by the address has a heartbeat within the timeout.
    #[must_use]
    pub fn is_alive(&self, address: &HomeAddress) -> bool {
        let peer = self.peers.get(&address.instance);
        peer.is_some_and(|peer| peer.incarnation == address.incarnation)
    }

    /// Returns whether a later incarnation of the address's instance exists, so that this one has
    /// ended.
    ///
    /// Another known incarnation is not sufficient: the address may be the later one.
    #[must_use]
    pub fn is_replaced(&self, address: &HomeAddress) -> bool {
        self.ended.contains(&(address.instance.clone(), address.incarnation))
    }
}
