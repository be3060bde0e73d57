use kwg_model::HomeAddress;
use serde::{Deserialize, Serialize};

/// The lease as it stands in the table service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The run of the router that holds it.
    pub holder: HomeAddress,
    /// Grows with each holder; targets that heed it refuse orders with a lower one.
    pub fence: u64,
    /// The number of the holder's write, never used twice by that run: readers see the row
    /// change, and an old reading is not taken for a new one.
    pub write: u64,
}
