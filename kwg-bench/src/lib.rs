//! Proofs over real processes and benchmarks in virtual time. Nothing here is shipped.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod fleet;
mod moves;
mod prove;

pub use fleet::{FleetHarness, FleetPlan, FleetProcess, TicketLog};
pub use moves::{JudgeKind, MoveTally, MoveTrial, TrialOutcome, VersionKind};
pub use prove::{KillProof, KillTally, OverheadProof, RunEvidence, ShutdownProof, ShutdownTally};
