//! The control core: configuration tables, membership, version moves, and the snapshot that traffic
//! cores use.

mod control_core;
mod control_event;
mod control_input;
mod control_message;
mod control_options;
mod control_output;
mod gossip_handler;
mod leader_handler;
mod move_tracker;
mod poison_tracker;
mod read_schedule;

pub use control_core::ControlCore;
pub use control_event::ControlEvent;
pub use control_input::ControlInput;
pub use control_message::{ControlMessage, CrashId, Heartbeat};
pub use control_options::ControlOptions;
pub use control_output::{ControlOutput, ControlStatus, LoadOrder};
