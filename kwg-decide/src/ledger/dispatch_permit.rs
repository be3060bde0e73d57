use kwg_model::{ClaimId, TicketKey};

/// Permission to dispatch one request.
///
/// Only [`PendingClaim::settle`](crate::PendingClaim::settle) creates it. It cannot be cloned
/// and a dispatch consumes it, so that one granted claim leads to at most one dispatch.
///
/// ```compile_fail
/// fn dispatch_twice(permit: kwg_decide::DispatchPermit) {
///     drop(permit);
///     drop(permit);
/// }
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct DispatchPermit {
    key: TicketKey,
    claim_id: ClaimId,
}

impl DispatchPermit {
    pub(super) fn new(key: TicketKey, claim_id: ClaimId) -> Self {
        Self { key, claim_id }
    }

    /// Returns the ticket that may be dispatched.
    #[must_use]
    pub fn key(&self) -> &TicketKey {
        &self.key
    }

    /// Drops the permit without a dispatch and returns the claim's id, with which the ticket can be
    /// revoked.
    #[must_use]
    pub fn release(self) -> ClaimId {
        self.claim_id
    }
}
