use std::time::Duration;

use crate::ServiceName;

/// An operator's order to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that is to take over.
    pub to: String,
    /// Time within which the move is to be finished or taken back.
    pub time_limit: Duration,
    /// The revision of the order; later ones are higher.
    pub revision: u64,
}
