use std::rc::Rc;

use kwg_gate::CallerBytes;

use super::traffic_state::TrafficState;

/// A buffered body of an answer. Its memory counts towards the limit of all callers until it is dropped.
#[derive(Debug)]
pub(crate) struct CountedBody {
    state: Rc<TrafficState>,
    bytes: Vec<u8>,
    held: CallerBytes,
}

impl CountedBody {
    pub(crate) fn new(state: &Rc<TrafficState>) -> Self {
        let held = CallerBytes::new(&state.callers);
        Self { state: Rc::clone(state), bytes: Vec::new(), held }
    }

    /// The bytes received so far.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends bytes; returns whether there is room for them.
    pub(crate) fn push(&mut self, part: &[u8]) -> bool {
        self.bytes.extend_from_slice(part);
        self.held.hold(self.bytes.capacity(), self.state.clock.now())
    }
}
