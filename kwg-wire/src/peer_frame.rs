use kwg_flow::{ControlMessage, TrafficMessage};
use kwg_model::{HomeAddress, InstanceName};
use serde::{Deserialize, Serialize};

use crate::GateNotice;

/// One message between two routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender's hybrid clock, so that the time line keeps cause before effect.
    pub stamp: u64,
    /// The message.
    pub body: PeerBody,
}

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerBody {
    /// The first frame of every stream: who sends, and in which run.
    Hello {
        /// The router.
        instance: InstanceName,
        /// Its run.
        incarnation: u64,
    },
    /// From traffic core to traffic core.
    Traffic {
        /// The sending core.
        from: HomeAddress,
        /// The core it is for; another run of the same instance must not get it.
        to: HomeAddress,
        /// The message.
        message: TrafficMessage,
    },
    /// From control core to control core.
    Control(ControlMessage),
    /// From gateway to gateway.
    Gate(GateNotice),
}
