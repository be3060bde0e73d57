//! HTTP front end: accepts callers' connections, authenticates and decodes their requests, and
//! streams answers back as server-sent events. Also serves the operators' admin endpoints.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod account_meter;
mod admin_server;
mod answer_body;
mod caller_registry;
mod deadline_stream;
mod front_error;
mod front_headers;
mod front_limits;
mod front_server;
mod reply_encoder;
mod submission_decoder;

pub use account_meter::{AccountMeter, RequestPermit};
pub use admin_server::{AdminPages, AdminServer};
pub use caller_registry::{CallerGuard, CallerRegistry, CallerSession};
pub use front_error::FrontError;
pub use front_headers::FrontHeaders;
pub use front_limits::FrontLimits;
pub use front_server::{FrontContext, FrontServer};
