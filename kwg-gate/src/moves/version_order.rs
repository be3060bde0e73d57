use std::time::Duration;

use crate::ServiceName;

/// An operator's order to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionOrder {
    /// The service to move.
    pub service: ServiceName,
    /// The version to move to.
    pub to: String,
    /// Time within which the move must be completed or rolled back.
    pub time_limit: Duration,
    /// The revision of the order; later ones are higher.
    pub revision: u64,
}
