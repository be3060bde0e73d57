use kwg_model::{DomainName, HomeAddress, RegionName};

/// Which core this is and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficIdentity {
    /// Instance, incarnation and shard.
    pub address: HomeAddress,
    /// The failure domain.
    pub domain: DomainName,
    /// The region.
    pub region: RegionName,
    /// How many traffic cores this router has.
    pub shards: u16,
}
