use kwg_model::{DispatchTicket, HomeAddress, PoolName, TargetName, TicketKey};

use super::{CallerKey, CallerReply, FlowEvent, ResumeOrder, TrafficMessage, VersionSample};
use crate::DispatchOrder;

/// An action requested by a traffic core.
#[derive(Debug)]
pub enum TrafficOutput {
    /// Send a reply to a caller.
    Reply {
        /// Caller that receives the reply.
        caller: CallerKey,
        /// Reply to pass to the caller.
        reply: CallerReply,
    },
    /// Send a message to another core.
    Send {
        /// Core that receives the message.
        to: HomeAddress,
        /// Message to the other core.
        message: TrafficMessage,
    },
    /// Send a request to its target.
    Dispatch(Box<DispatchOrder>),
    /// Read from a stream that was dispatched before.
    Resume(ResumeOrder),
    /// Send a cancel request for a stream to its target.
    Cancel {
        /// Stream to stop.
        key: TicketKey,
        /// Pool of the target.
        pool: PoolName,
        /// Target that runs the stream.
        target: TargetName,
    },
    /// Bind an idempotency key to this ticket, unless it is already bound.
    BindKey {
        /// Request number that the reply carries.
        request: u64,
        /// Idempotency key supplied by the caller.
        key: String,
        /// Ticket to bind the key to. The key belongs to the ticket's account.
        ticket: DispatchTicket,
    },
    /// Pass an answer to the canary judge of a version move.
    Sample(VersionSample),
    /// Report that a target crashed, or appears to have, while running a request.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Target that crashed.
        target: TargetName,
    },
    /// Record an event.
    Event(FlowEvent),
    /// Announce that this core has taken over the ledger of another core.
    Inherited {
        /// Core that handed over its ledger.
        home: HomeAddress,
    },
    /// The shutdown is complete: all accepted requests have ended.
    Drained {
        /// Whether a successor has taken over the ledgers.
        handed_over: bool,
    },
}
