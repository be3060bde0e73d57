use kwg_model::{DomainName, InstanceName, PeerView, RegionName};
use serde::{Deserialize, Serialize};

/// Gossip record of one router.
///
/// Only the router itself increments the counter. Of two records the one with the higher counter
/// is newer; at equal counters the worse state takes precedence until the router refutes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The router.
    pub instance: InstanceName,
    /// Incarnation of the router.
    pub incarnation: u64,
    /// Version of the record: raised by the router with each change, and set above the counter of a
    /// record that it refutes.
    pub counter: u64,
    /// Its availability.
    pub state: PeerState,
    /// Number of its traffic cores.
    pub shards: u16,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}

/// Availability of a router, ordered from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PeerState {
    /// It responds and accepts new work.
    Serving,
    /// It responds, finishes its requests and accepts no new work.
    Leaving,
    /// Its neighbours receive no heartbeats from it.
    Silent,
}

impl PeerRecord {
    /// Returns whether this record supersedes another one of the same router.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.counter, self.state, self.incarnation)
            > (other.counter, other.state, other.incarnation)
    }

    /// Returns the view of the router that traffic cores use.
    #[must_use]
    pub fn view(&self) -> PeerView {
        PeerView {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            shards: self.shards,
            domain: self.domain.clone(),
            region: self.region.clone(),
            serving: self.state == PeerState::Serving,
        }
    }
}
