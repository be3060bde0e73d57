use kwg_decide::LeaseRow;
use kwg_model::{
    HomeAddress, InstanceName, InstanceRow, PoolName, TableSet, TargetName, VersionName,
};

use super::ControlMessage;
use crate::VersionSample;

/// What comes into a control core.
#[derive(Debug)]
pub enum ControlInput {
    /// The tables as the platform has them; `None` if it did not answer.
    TablesRead(Option<TableSet>),
    /// The platform's instance list with its version; `None` if it did not answer.
    InstancesRead(Option<(u64, Vec<InstanceRow>)>),
    /// A message of another router.
    Peer {
        /// The sender.
        from: InstanceName,
        /// The message.
        message: ControlMessage,
    },
    /// A traffic core of this router carries on with another one's ledger.
    Inherited {
        /// The home whose ledger it was.
        home: HomeAddress,
        /// The core that has it now.
        successor: HomeAddress,
    },
    /// An answer counted by a traffic core of this router.
    Sample(VersionSample),
    /// A target crashed with a request of this router.
    Crash {
        /// The request's fingerprint.
        fingerprint: u64,
        /// The target.
        target: TargetName,
    },
    /// The lease row; `None` if the platform did not answer.
    LeaseRead(Option<Option<LeaseRow>>),
    /// What became of a write of the lease row; `None` if the platform did not answer.
    LeaseWritten(Option<bool>),
    /// What became of an order to load a version.
    OrderDone {
        /// The pool.
        pool: PoolName,
        /// The target.
        target: TargetName,
        /// The version.
        version: VersionName,
        /// Whether the target says that it has loaded the version.
        loaded: bool,
    },
    /// An edit of a move has been tried; what is in place comes with the tables.
    EditTried,
    /// A graceful shutdown begins.
    Drain,
    /// Time has passed.
    Tick,
}
