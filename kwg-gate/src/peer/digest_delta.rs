use serde::{Deserialize, Serialize};

use crate::{AccountUsage, MoveReport, ServiceName, TargetCode, TargetReport};

/// What has changed in a [`GateDigest`](crate::GateDigest) since the sender's last one. All values
/// are absolute, so that a lost delta leaves only the values that it would have changed outdated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestDelta {
    /// Number that identifies the sender's run; 0 in the sum of a failure domain.
    pub run: u64,
    /// Sequence number of this delta, counted from 1 in each run.
    pub number: u32,
    /// Whether the delta is complete: whatever it does not contain is zero.
    pub is_full: bool,
    /// Number of instances whose work is included.
    pub members: u16,
    /// Revision of the operators' rows that the sender has applied.
    pub orders_revision: u64,
    /// Revision of the target entries that the sender has applied.
    pub registry_revision: u64,
    /// Whether the store answers the sender.
    pub store_answers: bool,
    /// Changed usage of client accounts.
    pub accounts: Vec<AccountUsage>,
    /// Changed reports of targets.
    pub targets: Vec<(TargetCode, TargetReport)>,
    /// Number of requests that wait for capacity, by service; complete in each delta.
    pub waiting: Vec<(ServiceName, u16)>,
    /// Reports of version moves; complete in each delta.
    pub moves: Vec<MoveReport>,
    /// Fingerprints of requests whose runs were cut, with changed counts.
    pub suspects: Vec<(u64, u32)>,
}
