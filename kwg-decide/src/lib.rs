//! Decision logic without side effects: ticket ledger, queueing, placement, limits, leases,
//! membership and version moves.
//!
//! Callers pass in the current time and borrowed state; nothing here opens a socket, reads a
//! clock or takes a lock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod judge;
mod lease;
mod ledger;
mod limit;
mod membership;
mod placement;
mod poison;
mod queue;
mod version;

pub use judge::{
    BettingTest, JudgeOptions, JudgeVerdict, QuantileTracker, SampleBatch, SampleKey, VersionJudge,
};
pub use lease::{Held, LeaseOptions, LeaseRow, LeaseState, LeaseWrite, OrderPermit, Watching};
pub use ledger::{
    ClaimFailure, DispatchPermit, Granting, HandedOver, Inherited, LedgerOptions, LedgerRoute,
    LedgerSet, MintError, PendingClaim, Serving, TicketLedger,
};
pub use limit::{LimitShare, LoadGauge, LoadPermit};
pub use membership::{
    GraphMember, InstanceRegistry, PeerGraph, PeerRecord, PeerRoster, PeerState, RosterOptions,
};
pub use placement::{
    PlacementOptions, PlacementRequest, TargetChoice, TargetHealth, TargetSelector,
};
pub use poison::{PoisonOptions, SuspectList, SuspectVerdict};
pub use queue::{QueueEntry, QueueKey, QueueOptions, QueueVerdict, TierQueue};
pub use version::{
    Canary, Loading, MoveDriver, MoveInputs, MoveLifecycle, MovePlan, Ramping, Soaking, Staged,
    VersionSplit,
};
