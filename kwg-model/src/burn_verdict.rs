use serde::{Deserialize, Serialize};

use crate::HomeAddress;

/// A ledger's answer to an attempt to burn a ticket.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BurnVerdict {
    /// Nobody holds the ticket and nobody ever will: "not run" is true.
    Burned,
    /// An attempt of this core holds the ticket, so it may have been run.
    HeldBy(HomeAddress),
    /// The ticket is too old for the ledger to know whether it was claimed.
    Forgotten,
    /// The core that was asked is not the ticket's home and inherited nothing from it.
    HomeGone,
    /// The ledger was handed to this core.
    Moved(HomeAddress),
}
