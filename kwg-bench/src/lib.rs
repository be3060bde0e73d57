//! Proofs over real processes and benchmarks in virtual time. Nothing here is shipped.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod fleet;
mod moves;
mod policy;
mod prove;
mod scale;

pub use fleet::{FleetHarness, FleetPlan, FleetProcess, TicketLog};
pub use moves::{JudgeKind, MoveTally, MoveTrial, TrialOutcome, VersionKind};
pub use policy::{LoadRequest, PolicyKind, PolicyTally, PolicyTrial, WorkLoad};
pub use prove::{KillProof, KillTally, OverheadProof, RunEvidence, ShutdownProof, ShutdownTally};
pub use scale::{ControlCost, ControlScale, DecideCost, DecideScale};
