//! A model engine with continuous batching and a prompt prefix cache. It streams answers that
//! can be resumed and cancelled, reports its load with a lag, and executes orders with or
//! without a check of their fencing number.

mod engine_options;
mod engine_standin;
mod engine_state;
mod prefix_cache;
mod stream_body;
mod stream_handle;

pub use engine_options::EngineOptions;
pub use engine_standin::EngineStandin;
pub(crate) use engine_standin::json_response;
