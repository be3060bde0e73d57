//! The shell towards targets: dispatches orders, resumes and cancels streams, and reports what
//! comes back as events of the traffic core.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod stream_error;
mod stream_reader;
mod target_client;
mod target_headers;

pub use target_client::{TargetClient, TargetOptions};
pub use target_headers::TargetHeaders;
