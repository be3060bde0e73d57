//! The gateway process: one thread for control state, one for traffic, one that writes logs.
//!
//! Requests pass through the filters of `traffic`; `control` exchanges state with the store and
//! the other instances. Both do I/O only: the decisions are in `kwg-gate`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod control;
mod gateway_error;
mod gateway_metrics;
mod gateway_pipes;
mod gateway_process;
mod socket;
mod traffic;

pub use gateway_error::GatewayError;
pub use gateway_process::{GatewayOutcome, GatewayProcess};
