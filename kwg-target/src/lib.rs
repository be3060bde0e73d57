//! Target client: dispatches requests to targets, resumes and cancels their streams, and reports
//! the answers as events for the traffic core.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod stream_error;
mod stream_reader;
mod target_client;
mod target_headers;

pub use target_client::{TargetClient, TargetOptions};
pub use target_headers::TargetHeaders;
