use std::time::Duration;

use kwg_decide::{LeaseOptions, PoisonOptions, RosterOptions};

/// Waiting times of the control core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlOptions {
    /// Time between heartbeats to each neighbour.
    pub heartbeat: Duration,
    /// Waiting times of membership.
    pub roster: RosterOptions,
    /// Times of the lease of version moves.
    pub lease: LeaseOptions,
    /// Limits of the list of requests that crash targets.
    pub poison: PoisonOptions,
    /// Shortest time between reads of the tables' revision.
    pub table_read: Duration,
    /// Shortest time between reads of the instance list.
    pub list_read: Duration,
    /// Most reads of each kind that the whole fleet makes in a second; a large fleet reads less
    /// often, each router for all.
    pub fleet_reads_per_second: u32,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            roster: RosterOptions::default(),
            lease: LeaseOptions::default(),
            poison: PoisonOptions::default(),
            table_read: Duration::from_millis(500),
            list_read: Duration::from_millis(500),
            fleet_reads_per_second: 200,
        }
    }
}
