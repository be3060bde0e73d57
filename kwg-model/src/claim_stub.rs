use serde::{Deserialize, Serialize};

use crate::HomeAddress;

/// Names one attempt of one traffic core to claim a ticket.
///
/// The ledger grants the same attempt again when its answer was lost, and no other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimStub {
    /// The core that wants to dispatch.
    pub claimer: HomeAddress,
    /// The number of the attempt, never used twice by that core.
    pub attempt: u64,
}
