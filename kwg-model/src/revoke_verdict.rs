use serde::{Deserialize, Serialize};

use crate::HomeAddress;

/// A ledger's verdict on an attempt to revoke a ticket.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RevokeVerdict {
    /// The ticket is revoked or expired, or its holder gave up its claim, so the request has not
    /// been run and never will be under this ticket.
    #[serde(rename = "Burned")]
    Revoked,
    /// An attempt of the given core holds the ticket, so the request may have been run.
    HeldBy(HomeAddress),
    /// The ticket is past retention, so the ledger has no record of whether it was claimed.
    Forgotten,
    /// The receiving core keeps no ledger with this ticket: it never minted the ticket or has not
    /// inherited its ledger. Also used by a core that finds that the home's run has ended.
    #[serde(rename = "HomeGone")]
    HomeEnded,
    /// The ledger was handed over to the given core.
    Moved(HomeAddress),
}
