use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// The error for a peer link that cannot be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// A key or certificate file is unusable.
    #[snafu(display("{}: {reason}", path.display()))]
    BadFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// The TLS library refuses the keys.
    #[snafu(display("the peer keys cannot be used: {reason}"))]
    Tls {
        /// The cause.
        reason: String,
    },
    /// The address cannot be listened on.
    #[snafu(display("cannot listen for peers on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}
