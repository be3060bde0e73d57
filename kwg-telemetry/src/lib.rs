//! Observability: key=value logs, metrics, and events that merge into one timeline.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod event_line;
mod event_ring;
mod hybrid_clock;
mod log_queue;
mod log_sink;
mod metrics_book;
mod time_line;

pub use event_line::EventLine;
pub use event_ring::EventRing;
pub use hybrid_clock::HybridClock;
pub use log_queue::LogQueue;
pub use log_sink::{LogError, LogSink};
pub use metrics_book::{MetricsBook, RouterGauges};
pub use time_line::{TimeLine, TimeLineError};
