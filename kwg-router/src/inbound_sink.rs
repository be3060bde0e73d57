use kwg_flow::{ControlInput, TrafficInput};
use kwg_model::InstanceName;
use kwg_peer::LinkSink;
use kwg_wire::PeerBody;

use crate::router_pipes::RouterPipes;

/// Delivers messages received over peer links to the addressed core. Messages from gateways, with a
/// false sender or beyond the capacity of the control core's channel are counted as faults.
#[derive(Debug)]
pub(crate) struct InboundSink(pub(crate) RouterPipes);

impl LinkSink for InboundSink {
    fn deliver(&self, sender: InstanceName, body: PeerBody) {
        match body {
            PeerBody::Hello { .. } => {}
            PeerBody::Gate(_) => self.record_fault("not-a-gateway"),
            PeerBody::Traffic { from, to, message } if from.instance == sender => {
                self.0.send_to_core(&to, TrafficInput::Peer { from, message });
            }
            PeerBody::Traffic { .. } => self.record_fault("impostor"),
            PeerBody::Control(message) => {
                let input = ControlInput::Peer { from: sender, message };
                if self.0.control.try_send(input).is_err() {
                    self.record_fault("control-busy");
                }
            }
        }
    }

    fn record_fault(&self, reason: &'static str) {
        self.0.metrics.record_peer_fault(reason);
    }
}
