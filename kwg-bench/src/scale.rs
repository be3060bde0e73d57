//! What control costs by the size of the fleet, and what a decision costs by the number of
//! targets.

mod control_scale;
mod decide_cost;

pub use control_scale::{ControlCost, ControlScale};
pub use decide_cost::{DecideCost, DecideScale};
