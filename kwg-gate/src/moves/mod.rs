//! Version moves: traffic goes over to a new version step by step, or is taken back.

mod move_book;
mod move_phase;
mod move_report;
mod version_order;

pub use move_book::{MoveBook, MoveDecision};
pub use move_phase::MovePhase;
pub use move_report::{MoveReport, VersionTally};
pub use version_order::VersionOrder;
