use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// The error for a gateway that cannot start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen for {purpose} on {address}: {source}"))]
    Listen {
        /// Who would connect.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signals {
        /// The cause.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start thread {name}: {source}"))]
    Thread {
        /// The thread.
        name: &'static str,
        /// The cause.
        source: io::Error,
    },
}
