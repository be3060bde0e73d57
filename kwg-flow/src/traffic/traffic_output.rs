use kwg_model::{DispatchTicket, HomeAddress, PoolName, TargetName, TicketKey};

use super::{CallerKey, CallerReply, FlowEvent, ResumeOrder, TrafficMessage, VersionSample};
use crate::DispatchOrder;

/// What a traffic core wants done.
#[derive(Debug)]
pub enum TrafficOutput {
    /// Tell a caller something.
    Reply {
        /// The caller.
        caller: CallerKey,
        /// What.
        reply: CallerReply,
    },
    /// Send a message to another core.
    Send {
        /// The core.
        to: HomeAddress,
        /// The message.
        message: TrafficMessage,
    },
    /// Dispatch a request.
    Dispatch(Box<DispatchOrder>),
    /// Read on a stream that was dispatched before.
    Resume(ResumeOrder),
    /// Tell a target to stop a stream.
    Cancel {
        /// The stream.
        key: TicketKey,
        /// The pool.
        pool: PoolName,
        /// The target.
        target: TargetName,
    },
    /// Bind an idempotency key to this ticket, unless it is bound already.
    BindKey {
        /// Names the answer.
        request: u64,
        /// The caller's key.
        key: String,
        /// The ticket to bind it to; its account is the key's.
        ticket: DispatchTicket,
    },
    /// Count an answer for the judge of a version move.
    Sample(VersionSample),
    /// A target crashed, or seems to have, with a request of this fingerprint.
    Crash {
        /// The request's fingerprint.
        fingerprint: u64,
        /// The target.
        target: TargetName,
    },
    /// Note an event.
    Event(FlowEvent),
    /// This core carries on with the ledger of another one; the fleet is to be told.
    Inherited {
        /// The core that handed its ledger over.
        home: HomeAddress,
    },
    /// Everything accepted has ended and the ledger is handed over, or nobody could take it.
    Drained {
        /// Whether a successor has the ledger.
        handed_over: bool,
    },
}
