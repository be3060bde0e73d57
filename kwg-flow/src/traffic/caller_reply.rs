use kwg_model::{CallOutcome, DispatchTicket, TicketKey};

use crate::{AnswerEvent, CallRejection};

/// A reply of a traffic core to one of its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerReply {
    /// The submission was rejected.
    Rejected(CallRejection),
    /// Tickets that the caller requested.
    Tickets(Vec<DispatchTicket>),
    /// The ticket assigned to the submission; sent before any other reply to it.
    Ticketed(DispatchTicket),
    /// An event of the answer.
    Answer {
        /// Ticket of the request.
        key: TicketKey,
        /// Event to pass to the caller.
        event: AnswerEvent,
    },
}

impl CallerReply {
    /// Returns the final outcome if the request ended without an answer.
    #[must_use]
    pub fn outcome(&self) -> Option<CallOutcome> {
        match self {
            Self::Answer { event: AnswerEvent::Failed(outcome), .. } => Some(*outcome),
            _ => None,
        }
    }

    /// Returns whether this is the last reply.
    #[must_use]
    pub fn is_last(&self) -> bool {
        match self {
            Self::Rejected(_) | Self::Tickets(_) => true,
            Self::Answer { event, .. } => {
                matches!(event, AnswerEvent::End { .. } | AnswerEvent::Failed(_))
            }
            Self::Ticketed(_) => false,
        }
    }
}
