//! Ticket ledger, which ensures that a request is dispatched at most once.
//!
//! Each ticket is claimed or revoked once, and only by the ledger of its home or of the core
//! that inherited that ledger.

mod claim_right;
mod ledger_options;
mod ledger_shelf;
mod pending_claim;
mod ticket_ledger;

pub use claim_right::ClaimRight;
pub use ledger_options::LedgerOptions;
pub use ledger_shelf::{LedgerRoute, LedgerShelf};
pub use pending_claim::{ClaimFailure, PendingClaim};
pub use ticket_ledger::{Granting, HandedOver, Inherited, MintError, Serving, TicketLedger};
