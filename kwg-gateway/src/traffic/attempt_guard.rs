use std::cell::Cell;
use std::rc::Rc;

use kwg_gate::TargetKey;

use super::traffic_hub::TrafficHub;
use super::waiting_room::WaitingRoom;

/// Counts an attempt as load of its target for as long as it lives.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    hub: Rc<TrafficHub>,
    target: TargetKey,
    unread_tokens: Cell<u64>,
}

impl AttemptGuard {
    pub(crate) fn new(hub: &Rc<TrafficHub>, target: TargetKey, prompt_tokens: u64) -> Self {
        hub.core.borrow_mut().targets_mut().begin(target, prompt_tokens);
        Self { hub: Rc::clone(hub), target, unread_tokens: Cell::new(prompt_tokens) }
    }

    /// The target has read the prompt.
    pub(crate) fn note_read(&self) {
        let tokens = self.unread_tokens.replace(0);
        if tokens > 0 {
            self.hub.core.borrow_mut().targets_mut().note_read(self.target, tokens);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.note_read();
        let service = {
            let mut core = self.hub.core.borrow_mut();
            core.targets_mut().end(self.target);
            core.targets().entry(self.target).map(|entry| entry.service.clone())
        };
        if let Some(service) = service {
            WaitingRoom::call(&self.hub, &service, 1);
        }
    }
}
