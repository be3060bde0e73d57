use kwg_model::{HomeAddress, TicketKey};

use crate::pending::TimerQueue;
use crate::{EventKind, FlowEvent, TrafficMessage, TrafficOutput};

/// Collects the outputs and timers of the filters.
#[derive(Debug)]
pub(crate) struct FlowPipe<'a> {
    pub(crate) timers: &'a mut TimerQueue,
    pub(crate) outputs: &'a mut Vec<TrafficOutput>,
}

impl FlowPipe<'_> {
    pub(crate) fn send(&mut self, to: &HomeAddress, message: TrafficMessage) {
        self.outputs.push(TrafficOutput::Send { to: to.clone(), message });
    }

    pub(crate) fn event(&mut self, key: &TicketKey, kind: EventKind) {
        self.outputs.push(TrafficOutput::Event(FlowEvent { key: key.clone(), kind }));
    }
}
