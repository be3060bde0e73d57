//! A model engine: batches continuously, caches prompt prefixes, streams with resume and
//! cancel, reports its load with a lag, and takes orders with or without fencing.

mod engine_options;
mod engine_standin;
mod engine_state;
mod prefix_cache;
mod stream_body;
mod stream_cell;

pub use engine_options::EngineOptions;
pub use engine_standin::EngineStandin;
pub(crate) use engine_standin::json_page;
