//! Observability: key=value logs, metrics, and events that merge into one timeline.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod event_line;
mod event_ring;
mod hybrid_clock;
mod log_queue;
mod log_sink;
mod router_metrics;
mod timeline;

pub use event_line::EventLine;
pub use event_ring::EventRing;
pub use hybrid_clock::HybridClock;
pub use log_queue::LogQueue;
pub use log_sink::{LogError, LogSink};
pub use router_metrics::{RouterGauges, RouterMetrics};
pub use timeline::{Timeline, TimelineError};
