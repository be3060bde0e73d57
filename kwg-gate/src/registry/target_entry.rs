use std::net::SocketAddr;

use crate::{ServiceName, TargetId};

/// What a target says about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// The name of its run.
    pub id: TargetId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving: it finishes its work and must get no more.
    pub is_draining: bool,
    /// When it was started, in Unix milliseconds; another value under the same name is another
    /// run.
    pub born: u64,
}
