use super::pause_risk::PauseRisk;
use crate::PlacementQuery;

/// Streams that a request may make late beyond those at a better target, while no request waits.
const IDLE_MARGIN: f64 = 0.5;
/// The same while requests wait: as much as its own answer is worth, so that no slot stays idle whose use gains more
/// than it costs.
const CONTENDED_MARGIN: f64 = 1.0;
/// Share of the slots that better targets must have for a request to wait for one of them. Fewer could not take the
/// requests that the others leave to them.
const BETTER_SHARE: f64 = 0.25;

/// Up to how many late streams a request may cause at a target; otherwise it waits for a better one.
///
/// The load pattern: long prompts at an engine of 0.55 times the usual speed make most streams beside them late, while
/// engines of 1 and 2.8 times the usual speed read them without harm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct HarmLimit {
    late_streams: f64,
}

impl HarmLimit {
    /// The limit for a request, from the risk and the slots of each target that may serve it, whether it has a free
    /// slot or not.
    pub(crate) fn new(
        risks: impl Iterator<Item = (PauseRisk, u32)>,
        query: &PlacementQuery<'_>,
    ) -> Self {
        let unlimited = Self { late_streams: f64::INFINITY };
        if query.is_last_resort || !query.on_engine || query.gap_target.is_none() {
            return unlimited;
        }
        let margin = if query.is_contended { CONTENDED_MARGIN } else { IDLE_MARGIN };
        let mut risks: Vec<(f64, u32)> =
            risks.map(|(risk, slots)| (risk.late_streams(), slots)).collect();
        if risks.iter().all(|(late_streams, _)| *late_streams <= margin) {
            return unlimited;
        }
        risks.sort_unstable_by(|(one, _), (other, _)| one.total_cmp(other));
        let slots: u32 = risks.iter().map(|(_, slots)| slots).sum();
        let mut better = 0;
        let reference = risks.iter().find(|(_, own)| {
            better += own;
            f64::from(better) >= BETTER_SHARE * f64::from(slots)
        });
        Self { late_streams: reference.map_or(0.0, |(late_streams, _)| *late_streams) + margin }
    }

    /// The limit; none if there is none.
    pub(crate) fn late_streams(self) -> Option<f64> {
        Some(self.late_streams).filter(|limit| limit.is_finite())
    }

    /// Whether a request may go to a target where it has this risk.
    pub(crate) fn allows(self, risk: PauseRisk) -> bool {
        risk.late_streams() <= self.late_streams
    }
}
