//! A router: one control thread, one link thread and the traffic threads, joined by bounded
//! pipes. Decisions are in the cores; here are only threads and sockets.
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
