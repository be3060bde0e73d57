use std::net::SocketAddr;

use kwg_decide::ClaimRight;
use kwg_model::{AccountName, ByteChunk, PoolKind, PoolName, TargetName, VersionName};

/// What the target shell needs to dispatch a request. It holds the right to do so.
///
/// A shell that could not connect, and so wrote no byte, hands the order back whole.
#[derive(Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The right to dispatch, and the stream's id.
    pub right: ClaimRight,
    /// The client account.
    pub account: AccountName,
    /// The pool.
    pub pool: PoolName,
    /// What the target is.
    pub kind: PoolKind,
    /// The target.
    pub target: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version that is to serve.
    pub version: VersionName,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// The request body.
    pub body: ByteChunk,
}
