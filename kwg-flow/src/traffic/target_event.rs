use std::net::SocketAddr;

use kwg_model::{ByteChunk, PoolName, TargetName, TicketKey};

use crate::DispatchOrder;

/// What the target shell reports of a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// The connection was refused before any byte was written: the order comes back whole.
    NotStarted(Box<DispatchOrder>),
    /// Bytes of the answer.
    Part {
        /// Where in the answer they begin, in bytes.
        offset: u64,
        /// The bytes.
        chunk: ByteChunk,
    },
    /// The answer is whole.
    End {
        /// Its length, in bytes.
        length: u64,
    },
    /// The stream broke off, or never began after bytes were written.
    Cut,
    /// The target does not know the stream, or cannot be reached to be asked.
    Missing,
    /// The target answered with an error of its own.
    Failed,
}

/// Asks a target for a stream that was dispatched before. It dispatches nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeOrder {
    /// The ticket, which is the stream's id.
    pub key: TicketKey,
    /// The pool.
    pub pool: PoolName,
    /// The target.
    pub target: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The first byte wanted.
    pub offset: u64,
}
