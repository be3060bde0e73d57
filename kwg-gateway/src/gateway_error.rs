use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Error that keeps a gateway from starting or running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// A listening socket cannot be bound.
    #[snafu(display("cannot listen for {purpose} on {address}: {source}"))]
    Listen {
        /// What the address serves: callers, readiness or metrics.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signals {
        /// The cause.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start thread {name}: {source}"))]
    Thread {
        /// The thread's name.
        name: &'static str,
        /// The cause.
        source: io::Error,
    },
}
