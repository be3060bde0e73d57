use std::net::SocketAddr;
use std::sync::Arc;

use kwg_decide::{LeaseWrite, OrderPermit};
use kwg_model::{FleetSnapshot, InstanceName, PoolName, TargetName, VersionMove, VersionName};
use serde::Serialize;

use super::{ControlEvent, ControlMessage};

/// What a control core wants done.
#[derive(Debug)]
pub enum ControlOutput {
    /// Give the traffic cores a new view of the fleet.
    Publish(Arc<FleetSnapshot>),
    /// Send a message to another router.
    Send {
        /// The router.
        to: InstanceName,
        /// The message.
        message: ControlMessage,
    },
    /// Read the tables from the platform.
    ReadTables,
    /// Read the instance list from the platform.
    ReadInstances,
    /// Read the lease row from the platform.
    ReadLease,
    /// Write the lease row, if it is as expected.
    WriteLease(LeaseWrite),
    /// Tell a target to load a version; `permit` is checked once more right before sending.
    Order(LoadOrder),
    /// Replace a pool's move in the tables, if it still is as it was.
    EditMove {
        /// The pool.
        pool: PoolName,
        /// The move as it was decided on.
        from: Box<VersionMove>,
        /// The move after its next step.
        to: Box<VersionMove>,
    },
    /// Note an event.
    Event(ControlEvent),
}

/// An order to load a version. It is safe to repeat.
#[derive(Debug)]
pub struct LoadOrder {
    /// The right to give it.
    pub permit: OrderPermit,
    /// The pool.
    pub pool: PoolName,
    /// The target.
    pub target: TargetName,
    /// Where the target listens.
    pub address: SocketAddr,
    /// The version.
    pub version: VersionName,
}

/// What operators see of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// The router.
    pub instance: InstanceName,
    /// Its run, in hexadecimal.
    pub incarnation: String,
    /// Whether it takes new requests.
    pub ready: bool,
    /// The revision of the tables in force.
    pub revision: u64,
    /// The change that made that revision.
    pub change_id: String,
    /// How many other routers are there.
    pub peers: usize,
    /// Whether this router leads version moves.
    pub leads: bool,
    /// The versions that are braked, as `pool/version`.
    pub braked: Vec<String>,
}
