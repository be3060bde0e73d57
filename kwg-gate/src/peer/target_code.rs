use serde::{Deserialize, Serialize};

use crate::stable_hash::StableHash;

/// Number of bits of a code: six bytes as a variable-length integer. Two of 12,000 targets share a
/// code with a probability of less than 1 in 50,000.
const CODE_BITS: u32 = 42;

/// Short form of a target's name in digests. All instances compute the same one without agreeing on
/// anything.
///
/// ```
/// use kwg_gate::TargetCode;
///
/// assert_eq!(TargetCode::of("i-7f3a91c2"), TargetCode::of("i-7f3a91c2"));
/// assert_ne!(TargetCode::of("i-7f3a91c2"), TargetCode::of("i-7f3a91c3"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetCode(u64);

impl TargetCode {
    /// The code of a target's name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = StableHash::of(name.bytes());
        Self((hash ^ (hash >> CODE_BITS)) & ((1 << CODE_BITS) - 1))
    }

    /// The code as a number.
    pub(crate) fn value(self) -> u64 {
        self.0
    }
}
