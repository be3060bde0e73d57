use kwg_model::HomeAddress;
use serde::{Deserialize, Serialize};

/// The lease record stored in the table service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The run of the router that holds the lease.
    pub holder: HomeAddress,
    /// Fencing number, which increases with each holder; targets that check it refuse orders
    /// with a lower one.
    pub fence: u64,
    /// Number of the holder's write, unique within its run. It makes each renewal a visible
    /// change and distinguishes a row read before the write from one read after it.
    pub write: u64,
}
