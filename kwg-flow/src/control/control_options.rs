use std::time::Duration;

use kwg_decide::{LeaseOptions, PoisonOptions, RosterOptions};

/// Intervals and limits of the control core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlOptions {
    /// Interval between heartbeats to each neighbour.
    pub heartbeat: Duration,
    /// Timeouts after which a neighbour is marked silent and its record is removed.
    pub roster: RosterOptions,
    /// Timing of the lease of version moves.
    pub lease: LeaseOptions,
    /// Limits for the detection of requests that crash targets.
    pub poison: PoisonOptions,
    /// Minimum interval between reads of the tables' revision.
    pub min_table_read_interval: Duration,
    /// Minimum interval between reads of the instance list.
    pub min_list_read_interval: Duration,
    /// Maximum number of reads of each kind per second by the whole fleet; in a large fleet, each
    /// router reads less often.
    pub fleet_reads_per_second: u32,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            roster: RosterOptions::default(),
            lease: LeaseOptions::default(),
            poison: PoisonOptions::default(),
            min_table_read_interval: Duration::from_millis(500),
            min_list_read_interval: Duration::from_millis(500),
            fleet_reads_per_second: 200,
        }
    }
}
