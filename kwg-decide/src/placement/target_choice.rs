use std::net::SocketAddr;

use kwg_model::{PoolKind, PoolName, TargetName, VersionName};

use crate::LoadPermit;

/// The target selected for a request, with the permit that counts the request's load there.
#[derive(Debug)]
pub struct TargetChoice {
    /// The pool that serves the request.
    pub pool: PoolName,
    /// The kind of the pool's targets.
    pub kind: PoolKind,
    /// The selected target.
    pub target: TargetName,
    /// The address at which the target listens.
    pub address: SocketAddr,
    /// The version that serves the request.
    pub version: VersionName,
    /// Releases the load when dropped at the end of the request.
    pub permit: LoadPermit,
}
