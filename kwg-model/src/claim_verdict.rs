use serde::{Deserialize, Serialize};

use crate::HomeAddress;

/// A ledger's verdict on an attempt to claim a ticket.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// This attempt holds the ticket; repeating the attempt returns the same verdict.
    Granted,
    /// Another attempt, made by the given core, holds the ticket.
    HeldBy(HomeAddress),
    /// The ticket is revoked or expired and can never be claimed.
    #[serde(rename = "Burned")]
    Revoked,
    /// The ticket is past retention, so the ledger has no record of whether it was claimed.
    Forgotten,
    /// The receiving core keeps no ledger with this ticket: it never minted the ticket or has not
    /// inherited its ledger. Also used by a core that finds that the home's run has ended.
    #[serde(rename = "HomeGone")]
    HomeEnded,
    /// The ledger was handed over to the given core.
    Moved(HomeAddress),
}
