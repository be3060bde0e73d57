use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{TargetCode, TargetEntry};

/// Short form of one run of a target. All instances that have the same entry of it compute the same one.
///
/// ```
/// use kwg_gate::TargetRun;
///
/// assert_eq!(TargetRun::of("i-7f3a91c2", 1_700), TargetRun::of("i-7f3a91c2", 1_700));
/// assert_ne!(TargetRun::of("i-7f3a91c2", 1_700), TargetRun::of("i-7f3a91c2", 1_800));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetRun(TargetCode);

impl fmt::Display for TargetRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:011x}", self.code())
    }
}

impl TargetRun {
    /// The run of the target `id` that began at `born`, in Unix milliseconds.
    #[must_use]
    pub fn of(id: &str, born: u64) -> Self {
        Self(TargetCode::of(&format!("{id}@{born}")))
    }

    /// The code as a number.
    pub(crate) fn code(self) -> u64 {
        self.0.value()
    }

    /// The run that an entry describes.
    pub(crate) fn of_entry(entry: &TargetEntry) -> Self {
        Self::of(entry.id.as_str(), entry.born)
    }
}
