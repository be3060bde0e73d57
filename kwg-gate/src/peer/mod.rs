//! State that instances exchange, and which instances exchange it with each other.

mod fleet_roster;
mod gate_digest;
mod instance_map;
mod peer_tracker;
mod table_lag;

pub use fleet_roster::FleetRoster;
pub use gate_digest::{AccountUsage, GateDigest, TargetReport};
pub use instance_map::InstanceMap;
pub use peer_tracker::PeerTracker;
pub use table_lag::TableLag;
