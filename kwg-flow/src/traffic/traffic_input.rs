use std::sync::Arc;

use kwg_model::{
    AccountName, CallSubmission, DispatchTicket, FleetSnapshot, HomeAddress, TicketKey,
};

use super::{TargetEvent, TrafficMessage};

/// Identifies one request or one order of tickets by a caller, within its core. Keys are never
/// reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerKey(pub u64);

/// An input of a traffic core.
#[derive(Debug)]
pub enum TrafficInput {
    /// A caller submits a request.
    Submit {
        /// Caller that receives the replies.
        caller: CallerKey,
        /// Submitted request.
        submission: Box<CallSubmission>,
    },
    /// A caller requests tickets.
    Mint {
        /// Caller that receives the reply.
        caller: CallerKey,
        /// Authenticated client account.
        account: AccountName,
        /// Number of tickets.
        count: u16,
        /// Whether the tickets must be minted in another failure domain.
        other_domain: bool,
    },
    /// A caller no longer reads replies: its connection closed or its handler ended.
    CallerDisconnected {
        /// Caller that disconnected.
        caller: CallerKey,
    },
    /// A message from another core.
    Peer {
        /// Core that sent the message.
        from: HomeAddress,
        /// Message of the other core.
        message: TrafficMessage,
    },
    /// A report from the target client.
    Target {
        /// Stream that the report is about.
        key: TicketKey,
        /// What happened to the stream.
        event: TargetEvent,
    },
    /// The ticket that an idempotency key is bound to.
    KeyBound {
        /// Request number from [`TrafficOutput::BindKey`](super::TrafficOutput::BindKey).
        request: u64,
        /// Ticket of the first request that bound the key, or `None` if the table service did not
        /// answer.
        ticket: Option<DispatchTicket>,
    },
    /// The control core published a snapshot.
    Fleet(Arc<FleetSnapshot>),
    /// Starts a graceful shutdown: accepted requests are completed, new ones are refused.
    Drain,
    /// Time has passed; due timers run.
    Tick,
}
