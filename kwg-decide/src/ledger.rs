//! The right to dispatch: a ticket is claimed or burned once, by its home's ledger alone.

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
