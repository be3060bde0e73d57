use std::net::SocketAddr;

use kwg_decide::DispatchPermit;
use kwg_model::{AccountName, ByteChunk, PoolKind, PoolName, TargetName, VersionName};

/// An order to send a request to a target. It carries the permit to dispatch.
///
/// If the target client cannot connect, and therefore has written no byte, it returns the order
/// unchanged.
#[derive(Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Permit to dispatch. Its ticket key is the id of the stream.
    pub permit: DispatchPermit,
    /// Client account that submitted the request.
    pub account: AccountName,
    /// Pool that the target belongs to.
    pub pool: PoolName,
    /// Kind of the pool: engine or plain service.
    pub kind: PoolKind,
    /// Target that receives the request.
    pub target: TargetName,
    /// Address the target listens on.
    pub address: SocketAddr,
    /// Version that must serve the request.
    pub version: VersionName,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Request body.
    pub body: ByteChunk,
}
