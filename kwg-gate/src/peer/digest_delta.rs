use serde::{Deserialize, Serialize};

use crate::GateDigest;

/// What has changed in a [`GateDigest`] since the sender's last one. All values are absolute, so
/// that a lost delta leaves only the values that it would have changed outdated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestDelta {
    /// Sequence number of this delta, counted from 1 in each run.
    pub number: u32,
    /// Whether the delta is complete: whatever it does not contain is zero.
    pub is_full: bool,
    /// The digest, with changed accounts, targets and ends of targets only.
    pub changes: GateDigest,
}
