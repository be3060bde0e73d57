//! Tracks live routers by heartbeats and gossip, and routers and targets by the platform's instance
//! list, which lags behind the actual state.

mod instance_registry;
mod peer_graph;
mod peer_record;
mod peer_roster;

pub use instance_registry::InstanceRegistry;
pub use peer_graph::{GraphMember, PeerGraph};
pub use peer_record::{PeerRecord, PeerState};
pub use peer_roster::{PeerRoster, RosterOptions};
