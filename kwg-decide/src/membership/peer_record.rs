use kwg_model::{DomainName, InstanceName, PeerView, RegionName};
use serde::{Deserialize, Serialize};

/// What routers tell each other of one router.
///
/// Only the router itself raises the counter; of two records the one with the higher counter
/// is newer, and of equal ones the one with the worse state is believed until it is refuted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The router.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: u64,
    /// How often the router has changed or refuted its record.
    pub counter: u64,
    /// Whether it is there.
    pub state: PeerState,
    /// How many traffic cores it has.
    pub shards: u16,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}

/// Whether a router is there, from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PeerState {
    /// It answers and takes new work.
    Serving,
    /// It answers and ends what it has.
    Leaving,
    /// Its neighbours hear nothing of it.
    Silent,
}

impl PeerRecord {
    /// Whether this record is newer than another one of the same router.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.counter, self.state, self.incarnation)
            > (other.counter, other.state, other.incarnation)
    }

    /// The record as the traffic cores see it.
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
