use kwg_model::{ClaimStub, TicketKey};

/// Permission to dispatch one request.
///
/// Only [`PendingClaim::settle`](crate::PendingClaim::settle) creates it. It cannot be cloned
/// and a dispatch consumes it, so that one granted claim leads to at most one dispatch.
///
/// ```compile_fail
/// fn dispatch_twice(permit: kwg_decide::ClaimRight) {
///     drop(permit);
///     drop(permit);
/// }
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct ClaimRight {
    key: TicketKey,
    stub: ClaimStub,
}

impl ClaimRight {
    pub(super) fn new(key: TicketKey, stub: ClaimStub) -> Self {
        Self { key, stub }
    }

    /// Returns the ticket that may be dispatched.
    #[must_use]
    pub fn key(&self) -> &TicketKey {
        &self.key
    }

    /// Gives up the permission unused. The returned stub lets the ledger revoke the ticket.
    #[must_use]
    pub fn release(self) -> ClaimStub {
        self.stub
    }
}
