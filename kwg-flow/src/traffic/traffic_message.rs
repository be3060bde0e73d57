use kwg_model::{
    AccountName, ClaimId, ClaimVerdict, DispatchTicket, HomeAddress, LedgerExport, RevokeVerdict,
    TicketKey,
};
use serde::{Deserialize, Serialize};

use crate::AnswerEvent;

/// Messages between traffic cores.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrafficMessage {
    /// Claims a ticket at its home.
    Claim {
        /// Ticket to claim.
        ticket: DispatchTicket,
        /// Identifies the attempt.
        #[serde(rename = "stub")]
        claim_id: ClaimId,
    },
    /// The home's verdict on a claim.
    ClaimReply {
        /// Attempt number from the claim id.
        attempt: u64,
        /// The ledger's decision.
        verdict: ClaimVerdict,
    },
    /// Revokes a ticket at its home.
    #[serde(rename = "Burn")]
    Revoke {
        /// Ticket to revoke.
        ticket: DispatchTicket,
        /// Identifies the attempt.
        #[serde(rename = "stub")]
        claim_id: ClaimId,
    },
    /// The home's verdict on a revocation.
    #[serde(rename = "BurnReply")]
    RevokeReply {
        /// Attempt number from the claim id.
        attempt: u64,
        /// The ledger's decision.
        verdict: RevokeVerdict,
    },
    /// Requests tickets on behalf of a client account.
    Mint {
        /// Request number chosen by the sender.
        request: u64,
        /// Client account that will own the tickets.
        account: AccountName,
        /// Number of tickets.
        count: u16,
    },
    /// Reply to `Mint`.
    MintReply {
        /// Request number from `Mint`.
        request: u64,
        /// Minted tickets; empty if the receiver of `Mint` minted none.
        tickets: Vec<DispatchTicket>,
    },
    /// Requests the answer from the core that runs the request.
    Attach {
        /// Ticket of the request.
        key: TicketKey,
        /// Client account of the reader.
        account: AccountName,
        /// Position of the first byte wanted.
        offset: u64,
    },
    /// An event of a relayed answer.
    Answer {
        /// Ticket of the request.
        key: TicketKey,
        /// Event to pass to the answer's readers.
        #[serde(rename = "note")]
        event: AnswerEvent,
    },
    /// The receiver of `Attach` does not have the answer.
    AnswerMissing {
        /// Ticket of the request.
        key: TicketKey,
    },
    /// Ends the relay of an answer that has no readers left at the sender.
    Detach {
        /// Ticket of the request.
        key: TicketKey,
    },
    /// Hands a ledger over during a graceful shutdown.
    Inherit {
        /// Exported ledger.
        export: LedgerExport,
    },
    /// Confirms that the ledger was taken over.
    InheritReply {
        /// Home that exported the ledger.
        home: HomeAddress,
    },
}
