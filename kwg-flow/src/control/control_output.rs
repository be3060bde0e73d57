use std::sync::Arc;

use kwg_model::{FleetSnapshot, InstanceName};
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
    /// Note an event.
    Event(ControlEvent),
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
}
