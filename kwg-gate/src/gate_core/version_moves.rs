use kwg_model::MonoTime;

use super::GateCore;
use super::unreached_log::UnreachedAttempt;
use crate::session::RoutePlan;
use crate::{
    AnswerOutcome, AttemptEvidence, MoveDecision, MovePhase, MoveReport, OpenAnswerKey,
    RequestDetails, RouteLabel, ServiceName, TargetKey, VersionOrder,
};

impl GateCore {
    /// Applies an order of a version move and the phase from its status row.
    pub fn apply_order(&mut self, order: &VersionOrder, phase: Option<MovePhase>, now: MonoTime) {
        if self.moves.apply_order(order, phase, now) {
            self.moves.record_serving(&order.service, self.targets.versions(&order.service));
        }
    }

    /// Advances running version moves and returns the decisions: none if the instance was suspended
    /// since the last call.
    pub fn decide_moves(&mut self, now: MonoTime) -> Vec<MoveDecision> {
        if self.clock.record_round(now) {
            return Vec::new();
        }
        let is_informed = self.peers.reachable() * 2 > self.fleet_size;
        for attempt in self.unreached.take_due(now) {
            if is_informed {
                let (service, route) = (attempt.service.as_str(), attempt.route.as_str());
                let outcome = AnswerOutcome::Undelivered;
                self.moves.record_answer(service, &attempt.version, route, outcome);
            }
        }
        let Self { moves, targets, .. } = self;
        moves.set_targets(|service| targets.largest_version(service));
        moves.set_presence(|service, to| targets.presence(service, to, now));
        let running = |service: &ServiceName, to: &str| targets.running_on_others(service, to, now);
        moves.decide(running, is_informed, now)
    }

    /// Records for version moves that an attempt of a request of `route` has been sent to `target`.
    /// [`Self::end_answer`] must follow.
    pub fn begin_answer(
        &mut self,
        target: TargetKey,
        route: &str,
        now: MonoTime,
    ) -> Option<OpenAnswerKey> {
        let entry = self.targets.entry(target)?;
        self.moves.begin_answer(&entry.service, &entry.version, route, now)
    }

    /// Records for version moves that an attempt has ended.
    pub fn end_answer(&mut self, key: OpenAnswerKey) {
        self.moves.end_answer(key);
    }

    /// Records that the caller of a request of `route`, which arrived at `arrived`, gave up while the
    /// target was at work.
    pub fn record_abandoned(&mut self, target: TargetKey, route: &str, arrived: MonoTime) {
        self.count_for_move(target, route, arrived, AnswerOutcome::Undelivered);
    }

    /// Reports of version moves for peers: none until the answers have been read that arrived while the
    /// instance was suspended.
    pub(super) fn move_reports(&self, now: MonoTime) -> Vec<MoveReport> {
        match self.clock.resumes(now) {
            true => Vec::new(),
            false => self.moves.reports(now),
        }
    }

    /// Counts an attempt that ended without an answer for the version of its target.
    pub(super) fn count_end_for_move(
        &mut self,
        details: &RequestDetails,
        plan: &RoutePlan,
        target: TargetKey,
        evidence: AttemptEvidence,
        now: MonoTime,
    ) {
        match evidence {
            AttemptEvidence::Declined | AttemptEvidence::Withdrawn => {}
            AttemptEvidence::NotSent => {
                let Some(entry) = self.targets.last_entry(target) else { return };
                self.unreached.record(UnreachedAttempt {
                    at: now,
                    service: entry.service.clone(),
                    version: entry.version.clone(),
                    route: RouteLabel::new(&plan.route),
                });
            }
            _ => {
                let outcome = AnswerOutcome::Undelivered;
                self.count_for_move(target, &plan.route, details.arrived, outcome);
            }
        }
    }

    /// Counts an attempt for the version of its target, unless the instance was suspended since the
    /// request arrived: its own pause is no evidence about the target.
    pub(super) fn count_for_move(
        &mut self,
        target: TargetKey,
        route: &str,
        arrived: MonoTime,
        outcome: AnswerOutcome,
    ) {
        if self.clock.was_suspended_since(arrived) {
            return;
        }
        // An answer that a target owes when it vanishes counts as well.
        if let Some(entry) = self.targets.last_entry(target) {
            self.moves.record_answer(entry.service.as_str(), &entry.version, route, outcome);
        }
    }
}
