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
        /// Its failure domain.
        domain: String,
        /// Its report.
        digest: Box<GateDigest>,
    },
    /// The work of a whole failure domain.
    DomainSum {
        /// The domain.
        domain: String,
        /// The number of this sum; later ones of one speaker are higher.
        number: u64,
        /// The sum.
        digest: Box<GateDigest>,
        /// Whether the receiver is to pass it on within its own domain.
        pass_on: bool,
    },
    /// It is behind on a table of the store, and the store does not answer it.
    Pull {
        /// The table.
        table: SharedTable,
    },
    /// Changes of a table that the store has told the sender.
    Changes {
        /// The table.
        table: SharedTable,
        /// The last change before these.
        base: u64,
        /// Keys, revisions and bytes; none for rows that were removed.
        rows: Vec<(String, u64, Option<Vec<u8>>)>,
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
