use serde::{Deserialize, Serialize};

use crate::HomeAddress;

/// A ledger's verdict on an attempt to claim a ticket.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// This attempt holds the ticket; repeating the attempt returns the same verdict.
    Granted,
    /// Another attempt, made by the given core, holds the ticket.
    HeldBy(HomeAddress),
    /// The ticket is unclaimed and can never be claimed.
    #[serde(rename = "Burned")]
    Revoked,
    /// The ticket is past retention, so the ledger has no record of whether it was claimed.
    Forgotten,
    /// The receiving core is not the ticket's home and has not inherited its ledger.
    #[serde(rename = "HomeGone")]
    HomeEnded,
    /// The ledger was handed over to the given core.
    Moved(HomeAddress),
}
