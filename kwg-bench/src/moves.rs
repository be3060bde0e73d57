//! Runs the move driver, canary judge and traffic split against simulated versions in virtual time.

mod fake_version;
mod move_tally;
mod move_trial;
mod trial_judge;

pub use fake_version::VersionKind;
pub use move_tally::MoveTally;
pub use move_trial::{MoveTrial, TrialOutcome};
pub use trial_judge::JudgeKind;
