use serde::{Deserialize, Serialize};

use crate::HomeAddress;

/// A ledger's verdict on an attempt to revoke a ticket.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RevokeVerdict {
    /// The ticket is unclaimed and can never be claimed, so the request has not been run.
    #[serde(rename = "Burned")]
    Revoked,
    /// An attempt of the given core holds the ticket, so the request may have been run.
    HeldBy(HomeAddress),
    /// The ticket is past retention, so the ledger has no record of whether it was claimed.
    Forgotten,
    /// The receiving core is not the ticket's home and has not inherited its ledger.
    #[serde(rename = "HomeGone")]
    HomeEnded,
    /// The ledger was handed over to the given core.
    Moved(HomeAddress),
}
