use serde::{Deserialize, Serialize};

use crate::HomeAddress;

/// A ledger's answer to an attempt to claim a ticket.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// This attempt holds the ticket, now and whenever it asks again.
    Granted,
    /// Another attempt, of this core, holds the ticket.
    HeldBy(HomeAddress),
    /// Nobody holds the ticket and nobody ever will.
    Burned,
    /// The ticket is too old for the ledger to know whether it was claimed.
    Forgotten,
    /// The core that was asked is not the ticket's home and inherited nothing from it.
    HomeGone,
    /// The ledger was handed to this core.
    Moved(HomeAddress),
}
