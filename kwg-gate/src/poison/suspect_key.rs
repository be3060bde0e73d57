use std::fmt;

use crate::PromptPart;

/// What a request has that may end the targets that run it.
///
/// ```
/// use kwg_gate::{PromptPart, SuspectKey};
///
/// assert_eq!(SuspectKey::from(7), SuspectKey::Content(7));
/// assert_eq!(SuspectKey::from(7).to_string(), "content:0000000000000007");
/// let part = PromptPart::of("m", "5c1e07a2");
/// assert_eq!(SuspectKey::from(part).to_string(), format!("part:{part}"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectKey {
    /// The whole of it, by [`RequestDetails::fingerprint`](crate::RequestDetails::fingerprint).
    Content(u64),
    /// A part of its prompt.
    Part(PromptPart),
}

impl From<u64> for SuspectKey {
    fn from(fingerprint: u64) -> Self {
        Self::Content(fingerprint)
    }
}

impl From<PromptPart> for SuspectKey {
    fn from(part: PromptPart) -> Self {
        Self::Part(part)
    }
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(fingerprint) => write!(f, "content:{fingerprint:016x}"),
            Self::Part(part) => write!(f, "part:{part}"),
        }
    }
}
