use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The members of a large failure domain as its relay knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainListing {
    /// Name, address and whether the instance was live within the last second. The relay is
    /// included.
    pub members: Vec<(String, SocketAddr, bool)>,
    /// Names of the instances that read the store.
    pub readers: Vec<String>,
}
