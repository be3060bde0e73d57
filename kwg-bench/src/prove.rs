//! Proofs over real processes.

mod kill_proof;
mod kill_tally;
mod overhead_proof;
mod shutdown_proof;
mod steady_caller;

pub use kill_proof::KillProof;
pub use kill_tally::{KillTally, RunEvidence};
pub use overhead_proof::OverheadProof;
pub use shutdown_proof::{ShutdownProof, ShutdownTally};
