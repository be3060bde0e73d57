use kwg_model::{ClaimStub, TicketKey};

/// The right to dispatch one request, held by value.
///
/// It is made only by [`PendingClaim::settle`](crate::PendingClaim::settle) and cannot be
/// cloned, so whoever dispatches gives it away.
///
/// ```compile_fail
/// fn twice(right: kwg_decide::ClaimRight) {
///     drop(right);
///     drop(right);
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

    /// The ticket that may be dispatched.
    #[must_use]
    pub fn key(&self) -> &TicketKey {
        &self.key
    }

    /// Gives the right up unused; the stub lets the ledger burn the ticket.
    #[must_use]
    pub fn release(self) -> ClaimStub {
        self.stub
    }
}
