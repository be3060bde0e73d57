use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, RegionName, TargetName, VersionName};

/// One target of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRow {
    /// The name, unique within the pool.
    pub name: TargetName,
    /// The address at which the target listens.
    pub address: SocketAddr,
    /// The failure domain of the target.
    pub domain: DomainName,
    /// The region of the target.
    pub region: RegionName,
    /// Maximum work in flight over all routers, in tokens; chosen so that the work fits in the
    /// target's memory.
    pub limit_tokens: u64,
    /// Maximum number of concurrent streams over all routers; more would make the token rate of
    /// each stream too low.
    pub limit_streams: u64,
    /// The version that the target serves.
    pub version: VersionName,
    /// Whether the target refuses orders that carry an outdated fencing number.
    pub heeds_fencing: bool,
}
