use kwg_flow::{ControlMessage, TrafficMessage};
use kwg_model::{HomeAddress, InstanceName};
use serde::{Deserialize, Serialize};

use crate::GateMessage;

/// Message between two instances, routers or gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender's hybrid clock stamp, which lets the `timeline` command order causes before
    /// effects.
    pub stamp: u64,
    /// The message.
    pub body: PeerBody,
}

/// Payload of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerBody {
    /// First frame of every stream, which identifies the sender and its run.
    Hello {
        /// The sending instance.
        instance: InstanceName,
        /// The number of its current run.
        incarnation: u64,
    },
    /// Message from a traffic core to a traffic core.
    Traffic {
        /// The sending core.
        from: HomeAddress,
        /// The receiving core; another run of the same instance must not handle the message.
        to: HomeAddress,
        /// The message.
        message: TrafficMessage,
    },
    /// Message from a control core to a control core.
    Control(ControlMessage),
    /// Message from a gateway to a gateway.
    Gate(GateMessage),
}
