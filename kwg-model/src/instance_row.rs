use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::RegionName;

/// One row of the platform's instance list. The list lags behind what it describes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// The name of the router or target.
    pub name: String,
    /// What the instance is.
    pub kind: InstanceKind,
    /// Where it listens: routers for their peers, targets for requests.
    pub address: SocketAddr,
    /// Where a router listens for operators.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// The region it stands in, if the list tells.
    #[serde(default)]
    pub region: Option<RegionName>,
    /// Whether it is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// What an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceKind {
    /// A router of this system.
    Router,
    /// A target: a model engine or plain service.
    Target,
}
