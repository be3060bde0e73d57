//! The traffic core: the filter pipeline behind a single `step` function.

mod caller_reply;
mod flow_event;
mod target_event;
mod traffic_core;
mod traffic_identity;
mod traffic_input;
mod traffic_message;
mod traffic_options;
mod traffic_output;
mod traffic_pipeline;
mod version_sample;

pub use caller_reply::CallerReply;
pub use flow_event::{EventKind, FlowEvent};
pub use target_event::{ResumeOrder, TargetEvent};
pub use traffic_core::TrafficCore;
pub use traffic_identity::TrafficIdentity;
pub use traffic_input::{CallerKey, TrafficInput};
pub use traffic_message::TrafficMessage;
pub use traffic_options::TrafficOptions;
pub use traffic_output::TrafficOutput;
pub use version_sample::VersionSample;
