//! Version moves: traffic shifts to a new version step by step, or the move is rolled back.

mod move_phase;
mod move_report;
mod move_tracker;
mod version_order;

pub use move_phase::MovePhase;
pub use move_report::{MoveReport, VersionTally};
pub use move_tracker::{MoveDecision, MoveTracker};
pub use version_order::VersionOrder;
