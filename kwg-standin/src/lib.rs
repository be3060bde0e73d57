//! Stand-ins of what the system meets: model engines, a plain service, the platform and
//! callers. They are as small as the tests allow and are not shipped.
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
pub use http_service::{HttpService, PageHandler};
pub use plain_service::ServiceStandin;
pub use platform::PlatformStandin;
pub use reference_answer::ReferenceAnswer;
pub use wire::{RunnerMode, RunnerStandin, SampleFleet, SeenRequest, StoreMode, StoreStandin};
