use crate::{DomainName, InstanceName, RegionName};

/// What the control core knows of another router, as traffic cores need it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// The router's name.
    pub instance: InstanceName,
    /// The run that was last heard of.
    pub incarnation: u64,
    /// How many traffic cores it has.
    pub shards: u16,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Whether it takes new work.
    pub serving: bool,
}
