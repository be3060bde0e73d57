use kwg_model::{CallOutcome, TicketKey};

use crate::{Answered, DispatchOrder, Dispatched, RequestFlow};

/// Result of an answer event.
#[derive(Debug)]
pub(crate) enum RelayStep {
    /// The answer continues.
    Continue,
    /// The answer to a request that this core dispatched is complete.
    Ended(Box<RequestFlow<Answered>>),
    /// The request ended without an answer.
    Failed(TicketKey, CallOutcome),
    /// The target could not be reached and no byte was written; the order is returned unchanged.
    NotStarted(Box<RequestFlow<Dispatched>>, Box<DispatchOrder>),
}
