use std::rc::Rc;

use super::traffic_state::TrafficState;

/// A buffered body of a request or an answer. Its bytes count towards the process's limit until it
/// is dropped.
#[derive(Debug)]
pub(crate) struct CountedBody {
    state: Rc<TrafficState>,
    bytes: Vec<u8>,
}

impl CountedBody {
    pub(crate) fn new(state: &Rc<TrafficState>) -> Self {
        Self { state: Rc::clone(state), bytes: Vec::new() }
    }

    /// The bytes received so far.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends bytes; returns whether all bodies together are within the process's limit.
    pub(crate) fn push(&mut self, part: &[u8]) -> bool {
        self.bytes.extend_from_slice(part);
        let total = self.state.body_bytes.get() + part.len();
        self.state.body_bytes.set(total);
        total <= self.state.max_body_bytes
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.state.body_bytes.set(self.state.body_bytes.get().saturating_sub(self.bytes.len()));
    }
}
