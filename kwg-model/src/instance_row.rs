use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::RegionName;

/// One row of the platform's instance list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// The name of the router or target.
    pub name: String,
    /// The kind of the instance.
    pub kind: InstanceKind,
    /// The address at which a router listens for peers, or a target for requests.
    pub address: SocketAddr,
    /// The address at which a router listens for operators.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// The region, if the list contains it.
    #[serde(default)]
    pub region: Option<RegionName>,
    /// Whether the instance is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// Kind of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceKind {
    /// A router of this system.
    Router,
    /// A target: a model engine or plain service.
    Target,
}
