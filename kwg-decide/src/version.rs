//! Version moves: the life cycle of a move and how traffic is split meanwhile.

mod move_driver;
mod move_life;
mod version_split;

pub use move_driver::{MoveDriver, MoveFacts, MovePlan};
pub use move_life::{Canary, Loading, MoveLife, Ramping, Soaking, Staged};
pub use version_split::VersionSplit;
