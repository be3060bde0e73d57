use std::sync::Arc;

use kwg_model::{
    AccountName, CallSubmission, DispatchTicket, FleetSnapshot, HomeAddress, TicketKey,
};

use super::{TargetEvent, TrafficMessage};

/// Names one caller's connection inside its core. Keys are never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerKey(pub u64);

/// What comes into a traffic core.
#[derive(Debug)]
pub enum TrafficInput {
    /// A caller submits a request.
    Submit {
        /// Who gets the replies.
        caller: CallerKey,
        /// The request.
        submission: Box<CallSubmission>,
    },
    /// A caller asks for tickets.
    Mint {
        /// Who gets the reply.
        caller: CallerKey,
        /// The authenticated client account.
        account: AccountName,
        /// How many.
        count: u16,
        /// Whether their home must stand in another failure domain.
        elsewhere: bool,
    },
    /// A caller's connection has closed.
    CallerGone {
        /// The caller.
        caller: CallerKey,
    },
    /// A message of another core.
    Peer {
        /// The sender.
        from: HomeAddress,
        /// The message.
        message: TrafficMessage,
    },
    /// A report of the target shell.
    Target {
        /// The stream.
        key: TicketKey,
        /// The report.
        event: TargetEvent,
    },
    /// The ticket that an idempotency key is bound to; `None` if the table service did not
    /// answer.
    KeyBound {
        /// The request that asked.
        request: u64,
        /// The ticket of whoever bound the key first.
        ticket: Option<DispatchTicket>,
    },
    /// The control core published a snapshot.
    Fleet(Arc<FleetSnapshot>),
    /// Begin a graceful shutdown: end what was accepted, accept no more.
    Drain,
    /// Time has passed.
    Tick,
}
