use std::net::SocketAddr;

use crate::{ColdNotice, ServiceName, TargetId};

/// A target's own registration.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// Name of the target.
    pub id: TargetId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Version of its software.
    pub version: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining: it finishes its requests and must not get new ones.
    pub is_draining: bool,
    /// Start time in Unix milliseconds; another value under the same name means another run.
    pub born: u64,
    /// How long it stays cold.
    pub cold: ColdNotice,
}

impl TargetEntry {
    /// Whether another entry under the same name is of the same run of the target.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.born == other.born && self.address == other.address
    }
}
