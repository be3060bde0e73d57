use std::fmt;

use crate::stable_hash::StableHash;

/// A part of a prompt that requests share, by the hash of its id and of the model that reads it. All instances and
/// releases compute the same one.
///
/// ```
/// use kwg_gate::PromptPart;
///
/// assert_eq!(PromptPart::of("m", "5c1e07a2"), PromptPart::of("m", "5C1E07A2"));
/// assert_ne!(PromptPart::of("m", "5c1e07a2"), PromptPart::of("m", "91bd3f06"));
/// assert_ne!(PromptPart::of("m", "5c1e07a2"), PromptPart::of("n", "5c1e07a2"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart(u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl PromptPart {
    /// The part with this id, whose letters may be of either case, in a prompt for `model`.
    #[must_use]
    pub fn of(model: &str, id: &str) -> Self {
        let id = id.bytes().map(|byte| byte.to_ascii_lowercase());
        // A byte that occurs in no header separates the two.
        Self(StableHash::of(model.bytes().chain([0]).chain(id)))
    }

    /// The part with this hash.
    pub(crate) fn from_code(code: u64) -> Self {
        Self(code)
    }

    /// The hash as a number.
    pub(crate) fn code(self) -> u64 {
        self.0
    }
}
