//! Fault and load trials over real processes, and benchmarks in virtual time. Not shipped.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod fleet;
mod moves;
mod overload;
mod policy;
mod process;
mod scale;

pub use fleet::{FleetHarness, FleetPlan, FleetProcess, TicketLog};
pub use moves::{JudgeKind, MoveTally, MoveTrial, TrialOutcome, VersionKind};
pub use overload::{
    ClassTally, LoadPattern, LoadPhase, OverloadReplay, OverloadTally, RequestClass,
};
pub use policy::{LoadRequest, PolicyKind, PolicyTally, PolicyTrial, Workload};
pub use process::{KillTally, KillTrial, OverheadTrial, RunEvidence, ShutdownTally, ShutdownTrial};
pub use scale::{ControlCost, ControlScale, DecideCost, DecideScale};
