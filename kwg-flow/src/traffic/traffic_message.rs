use kwg_model::{
    AccountName, ClaimId, ClaimVerdict, DispatchTicket, HomeAddress, LedgerExport, RevokeVerdict,
    TicketKey,
};
use serde::{Deserialize, Serialize};

use crate::AnswerEvent;

/// Messages between traffic cores.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrafficMessage {
    /// Asks a ticket's home for the permit to dispatch.
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
        /// Verdict.
        verdict: ClaimVerdict,
    },
    /// Asks a ticket's home to revoke it.
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
        /// Verdict.
        verdict: RevokeVerdict,
    },
    /// Asks for tickets on behalf of a client account.
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
        /// Minted tickets; empty if the home refuses.
        tickets: Vec<DispatchTicket>,
    },
    /// Asks the core that runs a request to relay its answer.
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
        /// Event.
        #[serde(rename = "note")]
        event: AnswerEvent,
    },
    /// The receiver of `Attach` does not have the answer.
    AnswerMissing {
        /// Ticket of the request.
        key: TicketKey,
    },
    /// Tells the relaying core to stop: the answer has no readers here.
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
