use std::sync::Arc;

use kwg_decide::PeerRecord;
use kwg_model::{HomeAddress, InstanceRow, TableDelta, TableSet};
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
    /// Rows of the instance list that changed.
    Instances {
        /// The version of the list.
        version: u64,
        /// The rows.
        rows: Vec<InstanceRow>,
    },
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
