use kwg_decide::LimitShare;
use kwg_model::{FleetSnapshot, HomeAddress, MonoTime};

use crate::{TrafficIdentity, TrafficOptions};

/// Read-only state that every filter may use during one step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FlowContext<'a> {
    pub(crate) now: MonoTime,
    pub(crate) fleet: &'a FleetSnapshot,
    pub(crate) identity: &'a TrafficIdentity,
    pub(crate) options: &'a TrafficOptions,
}

impl FlowContext<'_> {
    /// Returns this core's share of the limit of each target.
    pub(crate) fn limit_share(&self) -> LimitShare {
        let (own, shards) = (&self.identity.address, u64::from(self.identity.shards));
        let before = self.fleet.peers.values().filter(|peer| peer.serving);
        let before = before.filter(|peer| peer.instance < own.instance).count() as u64;
        LimitShare {
            cores: self.fleet.router_count() * shards,
            index: before * shards + u64::from(own.shard),
        }
    }

    /// Returns whether the address belongs to this incarnation, or to one with a heartbeat within
    /// the timeout.
    pub(crate) fn is_alive(&self, address: &HomeAddress) -> bool {
        let own = &self.identity.address;
        if address.instance == own.instance {
            return address.incarnation == own.incarnation;
        }
        self.fleet.is_alive(address)
    }

    /// Returns whether the address belongs to an incarnation that is known to have ended.
    pub(crate) fn is_replaced(&self, address: &HomeAddress) -> bool {
        let own = &self.identity.address;
        if address.instance == own.instance {
            return address.incarnation != own.incarnation;
        }
        self.fleet.is_replaced(address)
    }
}
