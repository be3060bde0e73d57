//! Links between routers: QUIC with mutual TLS, over the runtime of the traffic threads.
//!
//! A link carries frames in order while it stands. Frames are dropped, and counted, when there
//! is no link or too many wait: the cores send again what matters.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod fleet_keys;
mod inbound_link;
mod link_error;
mod link_runtime;
mod link_sink;
mod peer_lane;
mod peer_link;
mod tls_identity;

pub use fleet_keys::{FleetAuthority, IssuedKeys, KeyError};
pub use link_error::LinkError;
pub use link_runtime::LinkRuntime;
pub use link_sink::LinkSink;
pub use peer_link::{LinkCommand, LinkOptions, PeerLink};
pub use tls_identity::{IdentityFiles, TlsIdentity};
