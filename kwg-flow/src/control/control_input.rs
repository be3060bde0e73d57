use kwg_decide::LeaseRow;
use kwg_model::{
    HomeAddress, InstanceName, InstanceRow, PoolName, TableSet, TargetName, VersionName,
};

use super::ControlMessage;
use crate::VersionSample;

/// An input of a control core.
#[derive(Debug)]
pub enum ControlInput {
    /// The tables read from the platform; `None` if it did not answer.
    TablesRead(Option<TableSet>),
    /// The instance list read from the platform, with its version; `None` if it did not answer.
    InstancesRead(Option<(u64, Vec<InstanceRow>)>),
    /// A message from another router.
    Peer {
        /// Router that sent the message.
        from: InstanceName,
        /// Message of the other router.
        message: ControlMessage,
    },
    /// A traffic core of this router took over the ledger of another core.
    Inherited {
        /// Home that exported the ledger.
        home: HomeAddress,
        /// Core that keeps the ledger now.
        successor: HomeAddress,
    },
    /// Measurement of an answer by a traffic core of this router.
    Sample(VersionSample),
    /// A target failed while running a request of this router, which may be the cause.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Target that failed.
        target: TargetName,
    },
    /// The lease row read from the platform; `None` if it did not answer.
    LeaseRead(Option<Option<LeaseRow>>),
    /// Whether a write of the lease row succeeded; `None` if the platform did not answer.
    LeaseWritten(Option<bool>),
    /// An order to load a version has ended.
    OrderDone {
        /// Pool of the target.
        pool: PoolName,
        /// Target that received the order.
        target: TargetName,
        /// Version to load.
        version: VersionName,
        /// Whether the target reported that it loaded the version.
        loaded: bool,
    },
    /// An edit of a version move was attempted. The result is read with the tables.
    EditAttempted,
    /// A graceful shutdown begins.
    Drain,
    /// Time has passed; due actions are taken.
    Tick,
}
