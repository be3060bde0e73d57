//! Version moves: their life cycle and the traffic split while one is in progress.

mod move_driver;
mod move_lifecycle;
mod version_split;

pub use move_driver::{MoveDriver, MoveInputs, MovePlan};
pub use move_lifecycle::{Canary, Loading, MoveLifecycle, Ramping, Soaking, Staged};
pub use version_split::VersionSplit;
