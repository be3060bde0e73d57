//! The control core: tables, membership and what the traffic cores see of them.

mod control_core;
mod control_event;
mod control_input;
mod control_message;
mod control_options;
mod control_output;
mod gossip_desk;
mod leader_desk;
mod move_desk;
mod poison_desk;
mod read_schedule;

pub use control_core::ControlCore;
pub use control_event::ControlEvent;
pub use control_input::ControlInput;
pub use control_message::{ControlMessage, CrashId, Heartbeat};
pub use control_options::ControlOptions;
pub use control_output::{ControlOutput, ControlStatus, LoadOrder};
