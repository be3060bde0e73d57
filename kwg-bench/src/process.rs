//! Fault and load trials over real processes.

mod kill_tally;
mod kill_trial;
mod overhead_trial;
mod persistent_caller;
mod shutdown_trial;

pub use kill_tally::{KillTally, RunEvidence};
pub use kill_trial::KillTrial;
pub use overhead_trial::OverheadTrial;
pub use shutdown_trial::{ShutdownTally, ShutdownTrial};
