//! The router process: one control thread, one link thread and the traffic threads, connected by
//! bounded channels (pipes).
//!
//! Decisions are made by the cores in `kwg-flow`; this crate holds the threads and the I/O.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod control_thread;
mod event_archive;
mod fleet_cell;
mod inbound_sink;
mod key_binder;
mod link_thread;
mod router_error;
mod router_pipes;
mod router_process;
mod status_pages;
mod traffic_thread;
mod wake_timer;

pub use router_error::RouterError;
pub use router_process::{RouterOutcome, RouterProcess};
