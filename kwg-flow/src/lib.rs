//! The traffic core and the control core of a router as deterministic state machines: `step(now,
//! input)` returns the outputs to perform, all as typed values.
//!
//! Sockets, QUIC and HTTP live in other crates, so a test or a model runs hundreds of routers in
//! one process on the production code. Inside a core, a request is passed by value from filter to
//! filter, and its type states the stage it has reached.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod answer;
mod control;
mod filter;
mod pending;
mod request;
mod traffic;

pub use answer::AnswerEvent;
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
