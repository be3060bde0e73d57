use serde::{Deserialize, Serialize};

use crate::{AccountName, PoolName, SealKey, TargetName, TicketKey, sealed_text};

/// Domain separator of resume token seals from ticket seals under the same key.
const SEAL_PURPOSE: u8 = b'R';

/// Locates the target from which any router can resume a running answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// The key of the ticket, which also identifies the stream at the target.
    pub key: TicketKey,
    /// The client account that may read the answer.
    pub account: AccountName,
    /// The pool of the target.
    pub pool: PoolName,
    /// The target that holds the stream.
    pub target: TargetName,
}

impl ResumeToken {
    /// Seals the token and returns its text form for callers.
    #[must_use]
    pub fn to_text(&self, key: &SealKey) -> String {
        sealed_text::encode(key, SEAL_PURPOSE, self)
    }

    /// Parses a caller's token; returns `None` if it was not sealed by this fleet.
    #[must_use]
    pub fn from_text(text: impl AsRef<str>, key: &SealKey) -> Option<Self> {
        sealed_text::decode(key, SEAL_PURPOSE, text.as_ref())
    }
}
