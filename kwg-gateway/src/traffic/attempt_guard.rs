use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use kwg_gate::TargetKey;
use kwg_model::MonoTime;

use super::traffic_state::TrafficState;
use super::wait_notifier::WaitNotifier;

/// Time of a stream's part after which its pace is recorded: short enough to notice a slow target while its streams
/// run, long enough to cost little.
const PACE_TIME: Duration = Duration::from_millis(100);

/// Counts an attempt as load of its target until it is dropped. The drop wakes a waiting request.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    state: Rc<TrafficState>,
    target: TargetKey,
    /// Prompt tokens that the target has not processed yet.
    unread_tokens: Cell<u64>,
    /// When the part of the stream began whose pace has not been recorded.
    part_since: Cell<Option<MonoTime>>,
    /// Number of its events.
    part_events: Cell<u64>,
    /// Whether the request has been sent.
    is_sent: Cell<bool>,
}

impl AttemptGuard {
    pub(crate) fn new(state: &Rc<TrafficState>, target: TargetKey, prompt_tokens: u64) -> Self {
        state.core.borrow_mut().targets_mut().begin_attempt(target, prompt_tokens);
        Self {
            state: Rc::clone(state),
            target,
            unread_tokens: Cell::new(prompt_tokens),
            part_since: Cell::default(),
            part_events: Cell::default(),
            is_sent: Cell::default(),
        }
    }

    /// Records that events have arrived, so that a target that turns slow is noticed before its streams end.
    pub(crate) fn record_events(&self, events: u64, now: MonoTime) {
        let Some(since) = self.part_since.get() else {
            self.part_since.set(Some(now));
            return;
        };
        let (events, span) = (self.part_events.get() + events, now.since(since));
        if span < PACE_TIME {
            self.part_events.set(events);
            return;
        }
        self.part_since.set(Some(now));
        self.part_events.set(0);
        let mut core = self.state.core.borrow_mut();
        core.targets_mut().record_pace(self.target, events, span, now);
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
