use kwg_model::{DomainName, HomeAddress, RegionName};

/// Identity and location of a traffic core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficIdentity {
    /// Instance, incarnation and shard.
    pub address: HomeAddress,
    /// Failure domain of the router.
    pub domain: DomainName,
    /// Region of the router.
    pub region: RegionName,
    /// Number of traffic cores of this router.
    pub shards: u16,
}
