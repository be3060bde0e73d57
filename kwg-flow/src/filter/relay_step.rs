use kwg_model::{CallOutcome, TicketKey};

use crate::{Answered, DispatchOrder, Dispatched, RequestFlow};

/// What a step of an answer led to.
#[derive(Debug)]
pub(crate) enum RelayStep {
    /// It goes on.
    Continue,
    /// The whole answer to a request that this core dispatched is here.
    Ended(Box<RequestFlow<Answered>>),
    /// The request ended without an answer.
    Failed(TicketKey, CallOutcome),
    /// The target could not be reached and no byte was written: the order is whole.
    NotStarted(Box<RequestFlow<Dispatched>>, Box<DispatchOrder>),
}
