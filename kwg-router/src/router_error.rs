use std::net::SocketAddr;

use kwg_peer::LinkError;
use snafu::Snafu;

/// The error for a router that cannot start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RouterError {
    /// A TCP address cannot be listened on.
    #[snafu(display("cannot listen for {purpose} on {address}: {source}"))]
    Listen {
        /// What for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The peer link cannot be set up.
    #[snafu(display("{source}"))]
    Link {
        /// The cause.
        source: LinkError,
    },
    /// Signals cannot be caught.
    #[snafu(display("signals cannot be caught: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("thread '{name}' cannot be started: {source}"))]
    Thread {
        /// The thread.
        name: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A thread has ended though nobody told it to.
    #[snafu(display("thread '{name}' has ended unexpectedly"))]
    ThreadLost {
        /// The thread.
        name: String,
    },
}
