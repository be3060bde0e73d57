use std::time::Duration;

use crate::{AccountName, ByteChunk, DispatchTicket, ResumeToken, RouteName, ServiceTier};

/// One request as a caller submitted it, after decoding and before any decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallSubmission {
    /// The authenticated client account.
    pub account: AccountName,
    /// The route that the caller names.
    pub route: RouteName,
    /// The caller's ticket; without one the router mints its own.
    pub ticket: Option<DispatchTicket>,
    /// The caller's own name for the request, bound to one ticket by the table service.
    pub idempotency_key: Option<String>,
    /// Where an earlier submission of the same ticket was answered from.
    pub resume: Option<ResumeToken>,
    /// The first byte of the answer that the caller still lacks.
    pub offset: u64,
    /// The caller's tier, if it asks for a lower one than its route gives.
    pub tier: Option<ServiceTier>,
    /// How long the caller waits for the first byte.
    pub deadline: Option<Duration>,
    /// Whether a second run would do harm.
    pub non_idempotent: bool,
    /// Whether the caller only reads an answer that is under way, and wants nothing run.
    pub join_only: bool,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// The request body.
    pub body: ByteChunk,
}

impl CallSubmission {
    /// Tells requests with the same route and body from others, so that one that crashes its
    /// targets is known when it is sent again.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.route.as_str().as_bytes()).update(&[0]).update(&self.body);
        let hash = hasher.finalize();
        hash.as_bytes().first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))
    }

    /// The expected work at an engine, in tokens: prompt at about four bytes a token, and answer.
    #[must_use]
    pub fn cost_tokens(&self) -> u64 {
        const BYTES_PER_TOKEN: u64 = 4;
        self.body.len() as u64 / BYTES_PER_TOKEN + u64::from(self.max_tokens)
    }
}
