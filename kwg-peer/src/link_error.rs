use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Error of setting up the peer links.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// A key or certificate file cannot be read or parsed.
    #[snafu(display("{}: {reason}", path.display()))]
    BadFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// The TLS library rejected the keys.
    #[snafu(display("the peer keys cannot be used: {reason}"))]
    Tls {
        /// The cause.
        reason: String,
    },
    /// Binding the UDP address failed.
    #[snafu(display("cannot listen for peers on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}
