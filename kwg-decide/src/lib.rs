//! Pure decisions. Every function takes the time and borrowed state and gives a verdict; no
//! socket, no clock call and no lock is in here.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod ledger;
mod limit;
mod membership;
mod placement;
mod queue;

pub use ledger::{
    ClaimFailure, ClaimRight, Granting, HandedOver, Inherited, LedgerOptions, LedgerRoute,
    LedgerShelf, MintError, PendingClaim, Serving, TicketLedger,
};
pub use limit::{LoadGauge, LoadPermit};
pub use membership::{
    GraphMember, InstanceBook, PeerGraph, PeerRecord, PeerRoster, PeerState, RosterOptions,
};
pub use placement::{PlacementOptions, PlacementRequest, TargetBook, TargetChoice, TargetHealth};
pub use queue::{QueueEntry, QueueKey, QueueOptions, QueueVerdict, TierQueue};
