use serde::{Deserialize, Serialize};

use crate::{AccountName, PoolName, SealKey, TargetName, TicketKey, sealed_text};

/// Keeps token seals apart from ticket seals under the same key.
const SEAL_PURPOSE: u8 = b'R';

/// Tells any router where a running answer can be resumed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// The ticket, which is also the id of the stream at the target.
    pub key: TicketKey,
    /// The client account that may read the answer.
    pub account: AccountName,
    /// The pool of the target.
    pub pool: PoolName,
    /// The target that holds the stream.
    pub target: TargetName,
}

impl ResumeToken {
    /// Seals the token and gives the text that callers carry.
    #[must_use]
    pub fn to_text(&self, key: &SealKey) -> String {
        sealed_text::encode(key, SEAL_PURPOSE, self)
    }

    /// Reads a caller's token; `None` if this fleet did not seal it.
    #[must_use]
    pub fn from_text(text: impl AsRef<str>, key: &SealKey) -> Option<Self> {
        sealed_text::decode(key, SEAL_PURPOSE, text.as_ref())
    }
}
