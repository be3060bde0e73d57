use std::time::Duration;

use crate::{AccountName, ByteChunk, DispatchTicket, ResumeToken, RouteName, ServiceTier};

/// A request as submitted by a caller, decoded but not yet processed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallSubmission {
    /// The authenticated client account.
    pub account: AccountName,
    /// The route named by the caller.
    pub route: RouteName,
    /// The caller's ticket; if absent, the router mints one.
    pub ticket: Option<DispatchTicket>,
    /// The caller's idempotency key, which the table service binds to one ticket.
    pub idempotency_key: Option<String>,
    /// Token from an earlier submission of the same ticket; locates the target that answers it.
    pub resume: Option<ResumeToken>,
    /// Offset of the first byte of the answer that the caller has not received.
    pub offset: u64,
    /// The requested tier, if lower than the route's tier.
    pub tier: Option<ServiceTier>,
    /// How long the caller waits for the first byte; the route's deadline if absent.
    pub deadline: Option<Duration>,
    /// Whether the request must not be run twice.
    pub non_idempotent: bool,
    /// Whether to only join an answer in progress, and not run the request if there is none.
    pub join_only: bool,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// The request body.
    pub body: ByteChunk,
}

impl CallSubmission {
    /// Returns a hash of route and body, by which a request that crashes its targets is recognized
    /// when it is sent again.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.route.as_str().as_bytes()).update(&[0]).update(&self.body);
        let hash = hasher.finalize();
        hash.as_bytes().first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))
    }

    /// Returns the expected work at an engine, in tokens: the prompt, estimated at four bytes per
    /// token, plus the maximum length of the answer.
    #[must_use]
    pub fn cost_tokens(&self) -> u64 {
        const BYTES_PER_TOKEN: u64 = 4;
        self.body.len() as u64 / BYTES_PER_TOKEN + u64::from(self.max_tokens)
    }
}
