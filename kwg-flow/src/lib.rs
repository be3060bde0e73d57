//! The two cores of a router as pure steps: `step(now, input)` gives outputs, over typed values.
//!
//! Sockets, QUIC and HTTP are shells round the cores, so a test or a model hosts hundreds of
//! routers in one process on the code that ships. Inside a core, a request passes by value
//! from filter to filter, and its type says how far it is.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod answer;
mod control;
mod desk;
mod filter;
mod request;
mod traffic;

pub use answer::AnswerNote;
pub use control::{
    ControlCore, ControlEvent, ControlInput, ControlMessage, ControlOptions, ControlOutput,
    ControlStatus, CrashId, Heartbeat, LoadOrder,
};
pub use request::{
    Admitted, Answered, CallRejection, Claimed, DispatchOrder, Dispatched, Placed, Received,
    RequestFlow,
};
pub use traffic::{
    CallerKey, CallerReply, EventKind, FlowEvent, ResumeOrder, TargetEvent, TrafficCore,
    TrafficIdentity, TrafficInput, TrafficMessage, TrafficOptions, TrafficOutput, VersionSample,
};
