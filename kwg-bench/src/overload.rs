//! Replays load patterns against the gateway's decisions, in virtual time: several instances with
//! late reports of each other, in front of modelled engines and services.

mod load_pattern;
mod overload_replay;
mod overload_tally;
mod replay_exchange;
mod replay_fleet;
mod replay_request;
mod request_class;
mod target_model;

pub use load_pattern::{LoadPattern, LoadPhase};
pub use overload_replay::OverloadReplay;
pub use overload_tally::{ClassTally, OverloadTally};
pub use request_class::RequestClass;
