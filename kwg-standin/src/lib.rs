//! Stand-ins for the systems around a router or gateway: model engines, a plain service, the
//! platform and callers.
//!
//! They implement only what the tests and the demo need, and are not shipped.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod caller;
mod engine;
mod http_service;
mod plain_service;
mod platform;
mod reference_answer;
mod wire;

pub use caller::{CallPlan, CallReport, CallResult, CallerAgent};
pub use engine::{EngineOptions, EngineStandin};
pub use http_service::{HttpService, RequestHandler};
pub use plain_service::ServiceStandin;
pub use platform::PlatformStandin;
pub use reference_answer::ReferenceAnswer;
pub use wire::{
    BrokenReply, EndlessReply, FatalEnd, ReceivedRequest, RunnerMode, RunnerStandin, SampleFleet,
    StoreMode, StoreStandin, StreamFraming,
};
