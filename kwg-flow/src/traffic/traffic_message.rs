use kwg_model::{
    AccountName, BurnVerdict, ClaimStub, ClaimVerdict, DispatchTicket, HomeAddress, LedgerExport,
    TicketKey,
};
use serde::{Deserialize, Serialize};

use crate::AnswerNote;

/// What traffic cores tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrafficMessage {
    /// Asks a ticket's home for the right to dispatch.
    Claim {
        /// The ticket.
        ticket: DispatchTicket,
        /// The attempt.
        stub: ClaimStub,
    },
    /// The home's verdict on a claim.
    ClaimReply {
        /// The number of the attempt.
        attempt: u64,
        /// The verdict.
        verdict: ClaimVerdict,
    },
    /// Asks a ticket's home to burn it.
    Burn {
        /// The ticket.
        ticket: DispatchTicket,
        /// The attempt.
        stub: ClaimStub,
    },
    /// The home's verdict on a burning.
    BurnReply {
        /// The number of the attempt.
        attempt: u64,
        /// The verdict.
        verdict: BurnVerdict,
    },
    /// Asks for tickets on behalf of a client account.
    Mint {
        /// Names the request to its sender.
        request: u64,
        /// The client account.
        account: AccountName,
        /// How many.
        count: u16,
    },
    /// The tickets; none if the home refuses.
    MintReply {
        /// The request.
        request: u64,
        /// The tickets.
        tickets: Vec<DispatchTicket>,
    },
    /// Asks the core that runs a request to relay its answer.
    Attach {
        /// The ticket.
        key: TicketKey,
        /// The client account that wants to read.
        account: AccountName,
        /// The first byte wanted.
        offset: u64,
    },
    /// A step of a relayed answer.
    Answer {
        /// The ticket.
        key: TicketKey,
        /// The step.
        note: AnswerNote,
    },
    /// The core that was asked to relay an answer does not have it.
    AnswerMissing {
        /// The ticket.
        key: TicketKey,
    },
    /// The sender of an answer's steps may stop: nobody here reads it.
    Detach {
        /// The ticket.
        key: TicketKey,
    },
    /// Hands a ledger over at a graceful shutdown.
    Inherit {
        /// The ledger.
        export: LedgerExport,
    },
    /// The ledger has been taken over.
    InheritReply {
        /// The home whose ledger it was.
        home: HomeAddress,
    },
}
