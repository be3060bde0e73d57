//! What instances tell each other.

mod gate_digest;
mod peer_book;

pub use gate_digest::{AccountUsage, GateDigest, TargetReport};
pub use peer_book::PeerBook;
