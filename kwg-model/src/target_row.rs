use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, RegionName, TargetName, VersionName};

/// One target of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRow {
    /// The name, unique in its pool.
    pub name: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub domain: DomainName,
    /// The region it stands in.
    pub region: RegionName,
    /// Most work in flight over all routers, in tokens: what its memory holds.
    pub limit_tokens: u64,
    /// Most streams at once over all routers: with more, tokens come too slowly.
    pub limit_streams: u64,
    /// The version it serves.
    pub version: VersionName,
    /// Whether it refuses orders that carry an old fencing number.
    pub heeds_fencing: bool,
}
