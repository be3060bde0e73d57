use std::net::SocketAddr;
use std::sync::Arc;

use kwg_decide::{LeaseWrite, OrderPermit};
use kwg_model::{FleetSnapshot, InstanceName, PoolName, TargetName, VersionMove, VersionName};
use serde::Serialize;

use super::{ControlEvent, ControlMessage};

/// An action requested by a control core.
#[derive(Debug)]
pub enum ControlOutput {
    /// Give the traffic cores a new snapshot of the fleet.
    Publish(Arc<FleetSnapshot>),
    /// Send a message to another router.
    Send {
        /// Router that receives the message.
        to: InstanceName,
        /// Message to the other router.
        message: ControlMessage,
    },
    /// Read the tables from the platform.
    ReadTables,
    /// Read the instance list from the platform.
    ReadInstances,
    /// Read the lease row from the platform.
    ReadLease,
    /// Write the lease row if it has the expected content.
    WriteLease(LeaseWrite),
    /// Order a target to load a version. The permit is checked once more right before sending.
    Order(LoadOrder),
    /// Replace a pool's move in the tables if it has not changed in the meantime.
    EditMove {
        /// Pool of the move.
        pool: PoolName,
        /// The move on which the decision was based.
        from: Box<VersionMove>,
        /// The move after its next step.
        to: Box<VersionMove>,
    },
    /// Record an event.
    Event(ControlEvent),
}

/// An order to load a version. It is idempotent.
#[derive(Debug)]
pub struct LoadOrder {
    /// Permit to send the order.
    pub permit: OrderPermit,
    /// Pool of the target.
    pub pool: PoolName,
    /// Target that receives the order.
    pub target: TargetName,
    /// Address the target listens on.
    pub address: SocketAddr,
    /// Version to load.
    pub version: VersionName,
}

/// State of a router as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// Name of the router.
    pub instance: InstanceName,
    /// Incarnation of the router, in hexadecimal.
    pub incarnation: String,
    /// Whether the router accepts new requests.
    pub ready: bool,
    /// Revision of the active tables.
    pub revision: u64,
    /// Id of the change that produced this revision.
    pub change_id: String,
    /// Number of other routers that are not silent.
    pub peers: usize,
    /// Whether this router leads version moves.
    pub leads: bool,
    /// Braked versions, as `pool/version`.
    pub braked: Vec<String>,
}
