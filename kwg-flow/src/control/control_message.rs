use std::sync::Arc;

use kwg_decide::{PeerRecord, SampleBatch, SampleKey};
use kwg_model::{
    HomeAddress, InstanceName, InstanceRow, PoolName, TableDelta, TableSet, TargetName, VersionName,
};
use serde::{Deserialize, Serialize};

/// What control cores tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Sent to each neighbour at fixed intervals, and at once when something changed.
    Heartbeat(Box<Heartbeat>),
    /// A change of the tables.
    TableDelta(Arc<TableDelta>),
    /// The whole tables, for a router that lacks the change's base.
    Tables(Arc<TableSet>),
    /// Asks for the whole tables.
    TablePull,
    /// Asks for every record of membership; sent by a router that has just started.
    RosterPull,
    /// Answers counted for the leader of a version move.
    Samples(Vec<(SampleKey, SampleBatch)>),
    /// A version gets no more traffic: any router may say so, and all pass it on.
    Brake {
        /// The pool.
        pool: PoolName,
        /// The version.
        version: VersionName,
        /// On which evidence.
        evidence: String,
    },
    /// A target crashed with a request of this fingerprint; all pass it on.
    Crash {
        /// The fingerprint.
        fingerprint: u64,
        /// The target.
        target: TargetName,
        /// Tells this crash from others, so that it counts once.
        id: CrashId,
    },
    /// Rows of the instance list that changed.
    Instances {
        /// The version of the list.
        version: u64,
        /// The rows.
        rows: Vec<InstanceRow>,
    },
}

/// Names one crash: the run of the router that saw it, and its count there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The router.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: u64,
    /// The count of its crashes.
    pub number: u64,
}

/// What a neighbour learns at each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The revision of the sender's tables.
    pub revision: u64,
    /// Records that changed since the last heartbeat, the sender's own at its start.
    pub records: Vec<PeerRecord>,
    /// Ledgers that were handed over, and where they are now.
    pub moved: Vec<(HomeAddress, HomeAddress)>,
}
