use std::cell::Cell;
use std::rc::Rc;

use kwg_gate::TargetKey;

use super::traffic_state::TrafficState;
use super::wait_notifier::WaitNotifier;

/// Counts an attempt as load of its target until it is dropped. The drop wakes a waiting request.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    state: Rc<TrafficState>,
    target: TargetKey,
    /// Prompt tokens that the target has not processed yet.
    unread_tokens: Cell<u64>,
    /// Whether the request has been sent.
    is_sent: Cell<bool>,
}

impl AttemptGuard {
    pub(crate) fn new(state: &Rc<TrafficState>, target: TargetKey, prompt_tokens: u64) -> Self {
        state.core.borrow_mut().targets_mut().begin_attempt(target, prompt_tokens);
        let (unread_tokens, is_sent) = (Cell::new(prompt_tokens), Cell::new(false));
        Self { state: Rc::clone(state), target, unread_tokens, is_sent }
    }

    /// Records that the request is sent now.
    pub(crate) fn record_sent(&self) {
        if !self.is_sent.replace(true) {
            let now = self.state.clock.now();
            if self.state.core.borrow_mut().targets_mut().record_sent(self.target, now) {
                self.state.metrics.record_cold_sent();
            }
        }
    }

    /// Records that the target has processed the prompt.
    pub(crate) fn record_prompt_read(&self) {
        let tokens = self.unread_tokens.replace(0);
        if tokens > 0 {
            self.state.core.borrow_mut().targets_mut().record_prompt_read(self.target, tokens);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.record_prompt_read();
        let service = {
            let mut core = self.state.core.borrow_mut();
            if !self.is_sent.get() {
                core.targets_mut().record_unsent(self.target);
            }
            core.targets_mut().end_attempt(self.target);
            core.targets().entry(self.target).map(|entry| entry.service.clone())
        };
        if let Some(service) = service {
            WaitNotifier::wake(&self.state, &service, 1);
        }
    }
}
