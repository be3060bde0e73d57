//! Ticket ledger, which ensures that a request is dispatched at most once.
//!
//! Each ticket is claimed at most once, and only the holder of the claim can still revoke it. Only
//! the ledger of its home, or of the core that inherited that ledger, decides.

mod dispatch_permit;
mod ledger_options;
mod ledger_set;
mod pending_claim;
mod ticket_ledger;

pub use dispatch_permit::DispatchPermit;
pub use ledger_options::LedgerOptions;
pub use ledger_set::{LedgerRoute, LedgerSet};
pub use pending_claim::{ClaimFailure, PendingClaim};
pub use ticket_ledger::{Granting, HandedOver, Inherited, MintError, Serving, TicketLedger};
