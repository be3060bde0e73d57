use kwg_gate::{MoveDecision, MovePhase};
use kwg_telemetry::EventLine;

use super::move_handler::MoveTask;

/// Phases of version moves that are to be recorded: one for each service.
#[derive(Debug, Default)]
pub(crate) struct PendingPhases {
    phases: Vec<MoveDecision>,
}

impl PendingPhases {
    /// Adds the phase of a task, and logs it.
    pub(crate) fn add(&mut self, task: MoveTask) {
        let decision = match task {
            MoveTask::Ordered(order) => {
                MoveDecision { order, phase: MovePhase::Running, reason: "ordered".to_owned() }
            }
            MoveTask::Decided(decision) => decision,
        };
        let line = EventLine::new("move-phase").field("service", &decision.order.service);
        let line = line.field("to", &decision.order.to).field("phase", decision.phase.as_str());
        log::info!("{}", line.field("reason", &decision.reason));
        self.keep(decision);
    }

    /// Keeps a phase to be recorded, unless that of a later order of the service or a later phase of the
    /// same one is kept.
    pub(crate) fn keep(&mut self, decision: MoveDecision) {
        let rank = |decision: &MoveDecision| (decision.order.revision, decision.phase);
        let is_same = |known: &&mut MoveDecision| known.order.service == decision.order.service;
        match self.phases.iter_mut().find(is_same) {
            Some(known) if rank(known) >= rank(&decision) => {}
            Some(known) => *known = decision,
            None => self.phases.push(decision),
        }
    }

    /// Removes and returns all phases.
    pub(crate) fn take(&mut self) -> Vec<MoveDecision> {
        std::mem::take(&mut self.phases)
    }

    /// Whether nothing is to be recorded.
    pub(crate) fn is_empty(&self) -> bool {
        self.phases.is_empty()
    }
}
