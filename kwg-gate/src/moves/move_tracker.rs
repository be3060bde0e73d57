use std::collections::HashMap;

use kwg_model::MonoTime;
use slotmap::SlotMap;

use super::move_step::MoveStep;
use super::open_answer::{OpenAnswer, OpenAnswerKey};
use super::service_moves::ServiceMoves;
use super::{
    AnswerOutcome, MoveDecision, MoveOptions, MovePhase, MoveReport, ReportSource, VersionOrder,
    VersionPresence,
};
use crate::{RouteLabel, ServiceName, VersionFilter};

/// Version moves that operators have ordered, one per service.
#[derive(Debug, Clone, Default)]
pub struct MoveTracker {
    options: MoveOptions,
    moves: HashMap<ServiceName, ServiceMoves>,
    /// Attempts that have not ended, of the services that are moved.
    open: SlotMap<OpenAnswerKey, OpenAnswer>,
}

impl MoveTracker {
    /// Creates a tracker without moves.
    #[must_use]
    pub fn new(options: MoveOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Applies changed options; the moves go on.
    pub fn set_options(&mut self, options: MoveOptions) {
        self.options = options;
    }

    /// Applies an order and the phase from its status row, if there is one. A later revision replaces
    /// the move, and the version of an unfinished or rolled back one does not serve as an old one from
    /// then on. The same revision can only raise the phase. Returns whether a move has begun.
    pub fn apply_order(
        &mut self,
        order: &VersionOrder,
        phase: Option<MovePhase>,
        now: MonoTime,
    ) -> bool {
        let phase = phase.unwrap_or(MovePhase::Running);
        match self.moves.get_mut(&order.service) {
            Some(moves) => moves.apply_order(order, phase, now),
            None => {
                self.moves.insert(order.service.clone(), ServiceMoves::new(order, phase, now));
                true
            }
        }
    }

    /// Records versions that had targets when the move of a service began: those that are proved serve as
    /// old ones, though none of them may have answered yet.
    pub fn record_serving<'a>(
        &mut self,
        service: &ServiceName,
        versions: impl Iterator<Item = &'a str>,
    ) {
        if let Some(moves) = self.moves.get_mut(service) {
            versions.for_each(|version| moves.record_serving(version));
        }
    }

    /// Applies how many targets of a service a version needs to serve alone.
    pub fn set_targets(&mut self, targets: impl Fn(&ServiceName) -> u32) {
        for moves in self.moves.values_mut() {
            let targets = targets(&moves.record.order.service);
            moves.record.set_targets(targets);
        }
    }

    /// Applies whether the ordered version of a service and others have targets.
    pub fn set_presence(&mut self, presence: impl Fn(&ServiceName, &str) -> VersionPresence) {
        for moves in self.moves.values_mut() {
            let order = &moves.record.order;
            let presence = presence(&order.service, &order.to);
            moves.set_presence(presence);
        }
    }

    /// Which versions may serve a request of a route; `draw` is a random number in [0, 1).
    #[must_use]
    pub fn filter(
        &self,
        service: &str,
        route: &str,
        draw: f64,
        now: MonoTime,
    ) -> VersionFilter<'_> {
        let moves = self.moves.get(service);
        moves.map_or(VersionFilter::Any, |moves| moves.filter(&self.options, route, draw, now))
    }

    /// Which versions may serve a request instead, in this order, if those of its filter have no target:
    /// those that were not proved come last. Nothing falls back to a version that was rolled back.
    pub fn fallbacks<'a>(
        &'a self,
        service: &str,
        first: VersionFilter<'a>,
    ) -> impl Iterator<Item = VersionFilter<'a>> {
        self.moves.get(service).into_iter().flat_map(move |moves| moves.fallbacks(first))
    }

    /// Whether `filter` admits the ordered version only while other ones serve as well, so that a request
    /// may use these if all targets of the ordered one are full.
    #[must_use]
    pub fn serves_both(&self, service: &str, filter: VersionFilter<'_>) -> bool {
        self.moves.get(service).is_some_and(|moves| moves.serves_both(filter))
    }

    /// Whether a request may use the ordered version if no other one has a target. Nothing falls back
    /// to a version that was rolled back.
    #[must_use]
    pub fn may_fall_back(&self, service: &str) -> bool {
        self.moves.get(service).is_some_and(ServiceMoves::may_fall_back)
    }

    /// Records that an attempt at a target of `version` has been sent, if it is to be counted. [`Self::end_answer`] must follow.
    pub fn begin_answer(
        &mut self,
        service: &ServiceName,
        version: &str,
        route: &str,
        now: MonoTime,
    ) -> Option<OpenAnswerKey> {
        let moves = self.moves.get_mut(service).filter(|moves| moves.is_counted(version))?;
        let record = &mut moves.record;
        record.record_begun();
        Some(self.open.insert(OpenAnswer {
            service: service.clone(),
            revision: record.order.revision,
            route: RouteLabel::new(route),
            is_new: record.order.to == version,
            started: now,
        }))
    }

    /// Records that an attempt has ended.
    pub fn end_answer(&mut self, key: OpenAnswerKey) {
        let Some(answer) = self.open.remove(key) else { return };
        let moves = self.moves.get_mut(&answer.service);
        let record = moves.map(|moves| &mut moves.record);
        if let Some(record) = record.filter(|record| record.order.revision == answer.revision) {
            record.record_ended();
        }
    }

    /// Counts an attempt at a target of `version`, if a move of the service is running. Versions of
    /// earlier moves that were not proved are no standard for the new one and are not counted.
    pub fn record_answer(
        &mut self,
        service: &str,
        version: &str,
        route: &str,
        outcome: AnswerOutcome,
    ) {
        if let Some(moves) = self.moves.get_mut(service) {
            moves.record_answer(version, route, outcome);
        }
    }

    /// Applies the report of a peer, if it is on the same move.
    pub fn apply_report(&mut self, peer: &str, report: &MoveReport, now: MonoTime) {
        self.apply_report_of(ReportSource::of_peer(peer), report, now);
    }

    /// Applies the report of a run of a peer, or the sum of a failure domain, if it is on the same move.
    pub fn apply_report_of(
        &mut self,
        source: ReportSource<'_>,
        report: &MoveReport,
        now: MonoTime,
    ) {
        if let Some(moves) = self.moves.get_mut(&report.service) {
            moves.apply_report(source, report, now);
        }
    }

    /// Reports of this instance for its peers.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<MoveReport> {
        self.moves.values().map(|moves| moves.report(self.open.values(), now)).collect()
    }

    /// Advances running moves and returns the decisions. A bad version is rolled back at once; one
    /// that was not proved good in time is rolled back as well. `old_running` returns how many
    /// requests of a service run at targets of other versions than the given one. `is_informed` is
    /// whether most instances report to this one; without them it neither proves a version, nor
    /// finds that one is not proved, nor completes a move: it does not know who still uses old targets.
    pub fn decide(
        &mut self,
        old_running: impl Fn(&ServiceName, &str) -> u32,
        is_informed: bool,
        now: MonoTime,
    ) -> Vec<MoveDecision> {
        let mut decisions = Vec::new();
        let records = self.moves.values_mut().map(|moves| &mut moves.record);
        for record in records.filter(|record| record.phase == MovePhase::Running) {
            let running = || old_running(&record.order.service, &record.order.to);
            let open = self.open.values();
            let reason = match record.step(&self.options, open, running, now) {
                MoveStep::Continue => continue,
                MoveStep::Prove(_)
                | MoveStep::ProveLoaded(_)
                | MoveStep::Fail(_)
                | MoveStep::End(MovePhase::Completed, _)
                    if !is_informed =>
                {
                    continue;
                }
                MoveStep::Prove(reason) => {
                    record.set_proved(&self.options, now);
                    reason
                }
                MoveStep::ProveLoaded(reason) => {
                    record.set_load_proved(now);
                    reason
                }
                MoveStep::Fail(reason) => {
                    record.phase = MovePhase::RolledBack;
                    reason
                }
                MoveStep::End(phase, reason) => {
                    record.phase = phase;
                    reason
                }
            };
            decisions.push(MoveDecision {
                order: record.order.clone(),
                phase: record.phase,
                reason,
            });
        }
        decisions
    }
}
