use std::cell::Cell;
use std::rc::Rc;

use kwg_gate::{Dispatched, GateSession, OpenAnswerKey, TargetKey};
use kwg_model::MonoTime;
use kwg_telemetry::EventLine;

use super::traffic_state::TrafficState;

/// Counts an attempt as open for the version of its target until it is dropped.
///
/// If it is dropped before the attempt has ended, it records that the caller gave up: the pipeline of
/// a caller that disconnects is dropped wherever it waits.
#[derive(Debug)]
pub(crate) struct AbandonGuard {
    state: Rc<TrafficState>,
    request_id: String,
    route: String,
    /// When the request arrived.
    arrived: MonoTime,
    /// The target at work; none after the attempt has ended.
    target: Cell<Option<TargetKey>>,
    open: Cell<Option<OpenAnswerKey>>,
}

impl AbandonGuard {
    pub(crate) fn new(state: &Rc<TrafficState>, session: &GateSession<Dispatched>) -> Self {
        let guard = Self {
            state: Rc::clone(state),
            request_id: session.details().id.clone(),
            route: session.route().to_owned(),
            arrived: session.details().arrived,
            target: Cell::new(None),
            open: Cell::new(None),
        };
        guard.set_target(session.placement().target);
        guard
    }

    /// The attempt goes on at this target.
    pub(crate) fn set_target(&self, target: TargetKey) {
        if self.target.replace(Some(target)) == Some(target) {
            return;
        }
        self.end_answer();
        let now = self.state.clock.now();
        let opened = self.state.core.borrow_mut().begin_answer(target, &self.route, now);
        self.open.set(opened);
    }

    /// Ends the guard: the attempt has ended by itself.
    pub(crate) fn disarm(self) {
        self.target.set(None);
    }

    fn end_answer(&self) {
        if let Some(open) = self.open.take() {
            self.state.core.borrow_mut().end_answer(open);
        }
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        self.end_answer();
        let Some(target) = self.target.get() else { return };
        let mut core = self.state.core.borrow_mut();
        core.record_abandoned(target, &self.route, self.arrived);
        let entry = core.targets().entry(target);
        let line = EventLine::new("attempt-abandoned")
            .field("id", &self.request_id)
            .field("route", &self.route)
            .field("target", entry.map_or("gone", |entry| entry.id.as_str()))
            .field("version", entry.map_or("gone", |entry| entry.version.as_str()));
        log::info!("{line}");
    }
}
