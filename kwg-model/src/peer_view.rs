use crate::{DomainName, InstanceName, RegionName};

/// State of another router, as used by the traffic cores.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// The router's name.
    pub instance: InstanceName,
    /// Incarnation of its latest known run.
    pub incarnation: u64,
    /// Number of its traffic cores.
    pub shards: u16,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Whether it accepts new work.
    pub serving: bool,
}
