use kwg_model::{CallOutcome, DispatchTicket, TicketKey};

use crate::{AnswerNote, CallRejection};

/// What a core tells one of its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerReply {
    /// The submission was not accepted.
    Rejected(CallRejection),
    /// Tickets that the caller asked for.
    Tickets(Vec<DispatchTicket>),
    /// The ticket under which the submission goes on; comes before any other reply to it.
    Ticketed(DispatchTicket),
    /// A step of the answer.
    Answer {
        /// The ticket.
        key: TicketKey,
        /// The step.
        note: AnswerNote,
    },
}

impl CallerReply {
    /// How the request ended without an answer, if it did.
    #[must_use]
    pub fn outcome(&self) -> Option<CallOutcome> {
        match self {
            Self::Answer { note: AnswerNote::Failed(outcome), .. } => Some(*outcome),
            _ => None,
        }
    }

    /// Whether nothing follows.
    #[must_use]
    pub fn is_last(&self) -> bool {
        match self {
            Self::Rejected(_) | Self::Tickets(_) => true,
            Self::Answer { note, .. } => {
                matches!(note, AnswerNote::End { .. } | AnswerNote::Failed(_))
            }
            Self::Ticketed(_) => false,
        }
    }
}
