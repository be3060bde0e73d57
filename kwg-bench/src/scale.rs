//! Benchmarks of scale: the cost of control by fleet size, and of single decisions by number of
//! targets.

mod control_scale;
mod decide_cost;

pub use control_scale::{ControlCost, ControlScale};
pub use decide_cost::{DecideCost, DecideScale};
