use std::net::SocketAddr;

use kwg_gate::{DigestDelta, DomainView, is_usable_name};
use serde::{Deserialize, Serialize};

/// Message from one gateway to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GateMessage {
    /// Periodic report of the sender's state.
    Digest {
        /// The sender's address, for peers that have not read it from the store.
        address: SocketAddr,
        /// The sender's failure domain.
        domain: String,
        /// What has changed since the sender's last report.
        delta: Box<DigestDelta>,
    },
    /// Aggregated reports of a whole failure domain.
    DomainSum {
        /// The domain.
        domain: String,
        /// The domain's relay.
        relay: String,
        /// Number that identifies the relay's run.
        run: u64,
        /// The sequence number of this sum, increasing per domain relay.
        number: u64,
        /// The aggregated report; complete.
        delta: Box<DigestDelta>,
        /// Whether the receiver forwards it within its own domain.
        pass_on: bool,
    },
    /// Sums of failure domains and list of members, from the relay of a large domain to the
    /// domain's other instances.
    View(Box<DomainView>),
    /// Request for complete reports: the sender has missed one of the recipient.
    Resync,
    /// Request for the changes of a table: the sender has seen a newer revision reported by the
    /// recipient.
    Pull {
        /// The table.
        table: SharedTable,
        /// The revision up to which the sender knows all changes.
        known: u64,
    },
    /// Changes of a table that the sender has received from the store, or that a `Pull` asks for.
    Changes {
        /// The table.
        table: SharedTable,
        /// The revision after which there was no change but these; 0 with a revision of 0.
        base: u64,
        /// The revision up to which they are all; 0 if they only show the rows that they name.
        revision: u64,
        /// Keys, revisions and values; no value for a removed row.
        rows: Vec<(String, u64, Option<Vec<u8>>)>,
    },
    /// A copy of the sender's mirror of a table.
    Copy {
        /// The table.
        table: SharedTable,
        /// The revision up to which it is complete.
        revision: u64,
        /// The rows: keys, revisions and values.
        rows: Vec<(String, u64, Vec<u8>)>,
    },
}

impl GateMessage {
    /// Whether the names of domains, instances and versions in the message can be used as such. Those of services,
    /// accounts and targets are checked where they are decoded, and the rows of tables by their own decoders.
    pub(crate) fn has_usable_names(&self) -> bool {
        match self {
            Self::Digest { domain, delta, .. } => {
                is_usable_name(domain) && has_usable_versions(delta)
            }
            Self::DomainSum { domain, relay, delta, .. } => {
                is_usable_name(domain) && is_usable_name(relay) && has_usable_versions(delta)
            }
            Self::View(view) => {
                let is_sound = |(domain, delta): &(String, DigestDelta)| {
                    is_usable_name(domain) && has_usable_versions(delta)
                };
                let listing = view.listing.iter();
                let mut names = listing.flat_map(|listing| {
                    let members = listing.members.iter().map(|(name, ..)| name);
                    members.chain(&listing.readers)
                });
                view.sums.iter().all(is_sound) && names.all(|name| is_usable_name(name))
            }
            Self::Resync | Self::Pull { .. } | Self::Changes { .. } | Self::Copy { .. } => true,
        }
    }
}

fn has_usable_versions(delta: &DigestDelta) -> bool {
    let mut past = delta.changes.moves.iter().flat_map(|report| &report.past);
    past.all(|past| is_usable_name(&past.version))
}

/// Table of the store that gateways replicate to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SharedTable {
    /// The operators' orders.
    Orders,
    /// The entries of targets.
    Targets,
}
