use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use kwg_model::MonoTime;

use super::PromptPart;
use crate::SuspectKey;

/// Details of a request, decoded from its head; the fingerprint is added once the body has been
/// read.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestDetails {
    /// Request id sent by the caller; a caller's own retry has a new one.
    pub id: String,
    /// The requested host.
    pub host: String,
    /// The requested path, without the query.
    pub path: String,
    /// The API key from the `Authorization` field, if there is one.
    pub key: Option<String>,
    /// Parts of the prompt that other requests may share, in order.
    pub parts: Vec<PromptPart>,
    /// Sizes of prompt and answer, if the request states them.
    pub tokens: Option<TokenCount>,
    /// When the first byte arrived.
    pub arrived: MonoTime,
    /// When the caller stops waiting.
    pub deadline: MonoTime,
    /// Hash of method, host, path and query, caller and body; 0 until the body has been read.
    pub fingerprint: u64,
}

impl RequestDetails {
    /// Number in [0, 1) that stays the same for the request.
    pub(crate) fn draw(&self) -> f64 {
        const BITS: u32 = 53;
        let mut hasher = DefaultHasher::new();
        (&self.id, self.arrived).hash(&mut hasher);
        (hasher.finish() >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
    }

    /// What of the request may end the targets that run it.
    pub fn suspects(&self) -> impl Iterator<Item = SuspectKey> {
        let parts = self.parts.iter().map(|part| SuspectKey::Part(*part));
        std::iter::once(SuspectKey::Content(self.fingerprint)).chain(parts)
    }
}

/// Size of a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum tokens of the answer.
    pub output: u64,
}
