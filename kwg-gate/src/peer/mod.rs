//! State that instances exchange, and which instances exchange it with each other.

mod digest_delta;
mod digest_exchange;
mod digest_history;
mod digest_mirror;
mod digest_source;
mod domain_listing;
mod domain_view;
mod fleet_roster;
mod gate_digest;
mod instance_map;
mod peer_tracker;
mod relay_election;
mod target_code;

pub use digest_delta::DigestDelta;
pub use digest_exchange::DigestExchange;
pub use digest_history::DigestHistory;
pub use digest_mirror::DigestMirror;
pub use digest_source::DigestSource;
pub use domain_listing::DomainListing;
pub use domain_view::DomainView;
pub use fleet_roster::FleetRoster;
pub use gate_digest::{AccountUsage, GateDigest, TargetReport};
pub use instance_map::InstanceMap;
pub use peer_tracker::PeerTracker;
pub use relay_election::RelayElection;
pub use target_code::TargetCode;
