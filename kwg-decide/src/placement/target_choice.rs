use std::net::SocketAddr;

use kwg_model::{PoolKind, PoolName, TargetName, VersionName};

use crate::LoadPermit;

/// The target chosen for a request, with its share of the target's limit.
#[derive(Debug)]
pub struct TargetChoice {
    /// The pool.
    pub pool: PoolName,
    /// What the target is.
    pub kind: PoolKind,
    /// The target.
    pub target: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version that is to serve the request.
    pub version: VersionName,
    /// Releases the share when the request has ended.
    pub permit: LoadPermit,
}
