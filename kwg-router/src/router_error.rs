use std::net::SocketAddr;

use kwg_peer::LinkError;
use snafu::Snafu;

/// Error of a router that cannot start, or whose thread panicked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RouterError {
    /// Listening on a TCP address failed.
    #[snafu(display("cannot listen for {purpose} on {address}: {source}"))]
    Listen {
        /// Who connects to the address.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The peer links cannot be set up.
    #[snafu(display("{source}"))]
    Link {
        /// The cause.
        source: LinkError,
    },
    /// Registering the signal handlers failed.
    #[snafu(display("cannot register signal handlers: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
    /// Spawning a thread failed.
    #[snafu(display("cannot spawn thread '{name}': {source}"))]
    Thread {
        /// The thread.
        name: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A thread panicked.
    #[snafu(display("thread '{name}' panicked"))]
    ThreadLost {
        /// The thread.
        name: String,
    },
}
