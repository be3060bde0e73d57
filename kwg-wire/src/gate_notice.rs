use std::net::SocketAddr;

use kwg_gate::GateDigest;
use serde::{Deserialize, Serialize};

/// What one gateway tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GateNotice {
    /// What it knows and does.
    Digest {
        /// Where it can be reached, for peers that have not read of it.
        address: SocketAddr,
        /// Its report.
        digest: Box<GateDigest>,
    },
    /// It is behind on a table of the store, and the store does not answer it.
    Pull {
        /// The table.
        table: SharedTable,
    },
    /// A copy of a table, as the store gave it.
    Copy {
        /// The table.
        table: SharedTable,
        /// The revision up to which it is complete.
        revision: u64,
        /// Its rows: keys, revisions and bytes.
        rows: Vec<(String, u64, Vec<u8>)>,
    },
}

/// Tables of the store that gateways pass on to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SharedTable {
    /// What operators have ordered.
    Orders,
    /// The entries of targets.
    Targets,
}
