use std::collections::HashMap;
use std::time::Duration;

use kwg_gate::{MoveDecision, MovePhase, MoveReport, ServiceName};
use kwg_model::MonoTime;

/// Time in which the instance that ended a move records its end.
const RECORDING_TIME: Duration = Duration::from_secs(1);

/// Ends of version moves that this instance knows of.
///
/// Instances take the end of a move over from a report, and then do not decide it themselves. If the one that
/// did is gone or does not reach the store, another one has to record it.
#[derive(Debug, Default)]
pub(crate) struct MoveWatch {
    ends: HashMap<ServiceName, KnownEnd>,
}

#[derive(Debug, Clone, Copy)]
struct KnownEnd {
    revision: u64,
    phase: MovePhase,
    /// When this instance records the end; none if it has been queued.
    due: Option<MonoTime>,
}

impl MoveWatch {
    /// Records that this instance has decided a phase, which it records by itself.
    pub(crate) fn record_own(&mut self, decision: &MoveDecision) {
        let (revision, phase) = (decision.order.revision, decision.phase);
        self.ends.insert(decision.order.service.clone(), KnownEnd { revision, phase, due: None });
    }

    /// Returns the ends that are now to be recorded, from this instance's reports on its moves.
    pub(crate) fn take_due<'a>(
        &mut self,
        moves: &'a [MoveReport],
        now: MonoTime,
    ) -> Vec<&'a MoveReport> {
        let is_end = |phase| matches!(phase, MovePhase::Completed | MovePhase::RolledBack);
        let ended = moves.iter().filter(|report| is_end(report.phase));
        ended.filter(|report| self.is_due(report, now)).collect()
    }

    fn is_due(&mut self, report: &MoveReport, now: MonoTime) -> bool {
        let (revision, phase) = (report.revision, report.phase);
        let end = KnownEnd { revision, phase, due: Some(now + RECORDING_TIME) };
        let known = self.ends.entry(report.service.clone()).or_insert(end);
        if (known.revision, known.phase) != (revision, phase) {
            *known = end;
        }
        let is_due = known.due.is_some_and(|due| due <= now);
        if is_due {
            known.due = None;
        }
        is_due
    }
}
