//! Links between instances, routers or gateways: QUIC with mutual TLS, on an executor supplied by
//! the caller.
//!
//! A link delivers frames in order while it is connected. Frames are dropped and counted when the
//! link is down or its queue is full; the cores repeat the messages that they depend on.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod fleet_keys;
mod inbound_link;
mod link_error;
mod link_runtime;
mod link_sink;
mod peer_link;
mod peer_sender;
mod tls_identity;

pub use fleet_keys::{FleetAuthority, IssuedIdentity, KeyError};
pub use link_error::LinkError;
pub use link_runtime::LinkRuntime;
pub use link_sink::LinkSink;
pub use peer_link::{LinkCommand, LinkOptions, PeerLink};
pub use tls_identity::{IdentityFiles, TlsIdentity};
