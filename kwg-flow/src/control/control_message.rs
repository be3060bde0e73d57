use std::sync::Arc;

use kwg_decide::{PeerRecord, SampleBatch, SampleKey};
use kwg_model::{
    HomeAddress, InstanceName, InstanceRow, PoolName, TableDelta, TableSet, TargetName, VersionName,
};
use serde::{Deserialize, Serialize};

/// Messages between control cores.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Sent to each neighbour at a fixed interval, and immediately when something changed.
    Heartbeat(Box<Heartbeat>),
    /// A change of the tables.
    TableDelta(Arc<TableDelta>),
    /// The complete tables, in reply to [`TablePull`](Self::TablePull).
    Tables(Arc<TableSet>),
    /// Requests the complete tables: the sender has none, has older ones, or lacks the base of a
    /// change.
    TablePull,
    /// Requests all membership records; sent to each new neighbour, and so to all of them at
    /// startup.
    RosterPull,
    /// Samples for the leader of version moves.
    Samples(Vec<(SampleKey, SampleBatch)>),
    /// A version gets no more traffic. Any router may send this, and every router forwards it.
    Brake {
        /// Pool of the version.
        pool: PoolName,
        /// Version to brake.
        version: VersionName,
        /// Evidence for the decision.
        evidence: String,
    },
    /// A target failed while running a request, which may be the cause. Every router forwards this.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Target that crashed.
        target: TargetName,
        /// Identifies the crash, so that it is counted once.
        id: CrashId,
    },
    /// Rows of the instance list that changed.
    Instances {
        /// Version of the list.
        version: u64,
        /// Changed rows.
        rows: Vec<InstanceRow>,
    },
}

/// Identifies a crash by the incarnation that observed it and a number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Router that observed the crash.
    pub instance: InstanceName,
    /// Incarnation of the router.
    pub incarnation: u64,
    /// Number of the crash within that incarnation.
    pub number: u64,
}

/// Content of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Revision of the sender's active tables.
    pub revision: u64,
    /// Membership records that changed since the last heartbeat (initially the sender's own) and
    /// one unchanged record; all records in reply to [`ControlMessage::RosterPull`].
    pub records: Vec<PeerRecord>,
    /// Ledgers that were handed over, each with the core that keeps it now.
    pub moved: Vec<(HomeAddress, HomeAddress)>,
}
