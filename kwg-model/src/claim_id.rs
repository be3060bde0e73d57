use serde::{Deserialize, Serialize};

use crate::HomeAddress;

/// Identifies one attempt of one traffic core to claim a ticket.
///
/// After a grant, the ledger repeats it for the same attempt, whose reply may have been lost,
/// and refuses every other attempt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The core that claims the ticket.
    pub claimer: HomeAddress,
    /// The number of the attempt, unique within that core.
    pub attempt: u64,
}
