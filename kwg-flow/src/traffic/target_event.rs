use std::net::SocketAddr;

use kwg_model::{ByteChunk, PoolName, TargetName, TicketKey};

use crate::DispatchOrder;

/// A report of the target client about a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// The connection was refused before any byte was written; the order is returned unchanged.
    NotStarted(Box<DispatchOrder>),
    /// Bytes of the answer.
    Part {
        /// Position of the first byte in the answer, in bytes.
        offset: u64,
        /// Bytes from that position on.
        chunk: ByteChunk,
    },
    /// The answer is complete.
    End {
        /// Length of the answer, in bytes.
        length: u64,
    },
    /// The stream was interrupted, or did not begin after bytes of the request were written.
    Cut,
    /// The target does not hold the stream, or cannot be reached to read it.
    Missing,
    /// The target replied with an error.
    Failed,
}

/// An order to read a stream that was dispatched before. It dispatches nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeOrder {
    /// Ticket of the request, which is the id of the stream.
    pub key: TicketKey,
    /// Pool of the target.
    pub pool: PoolName,
    /// Target from which the stream is read.
    pub target: TargetName,
    /// Address the target listens on.
    pub address: SocketAddr,
    /// Position of the first byte wanted.
    pub offset: u64,
}
