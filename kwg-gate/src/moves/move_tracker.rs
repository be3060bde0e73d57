use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use super::{MovePhase, MoveReport, VersionOrder, VersionTally};
use crate::{ServiceName, VersionFilter};

/// Share of the requests that a new version gets during the canary phase. The platform's limit for
/// the share of requests that a bad version may get is one tenth.
const CANARY_SHARE: f64 = 0.05;
/// End of the canary phase, as a part of the time limit. It is long so that
/// versions whose failures begin late are detected.
const CANARY_END: f64 = 0.45;
/// End of the ramp, as a part of the time limit; from then on the new version serves alone.
const RAMP_END: f64 = 0.6;
/// When the move is completed, as a part of the time limit. Old targets stop at that
/// moment, so their last requests have the time since [`RAMP_END`] to finish.
const COMPLETION_TIME: f64 = 0.82;
/// Share of the traffic that the new version gets during the ramp.
const RAMP_SHARE: f64 = 0.5;
/// Minimum number of failures for a version to count as failing: fewer may be chance.
const MIN_FAILURES: u32 = 4;
/// Margin of the failure share: a version is failing if its share exceeds three times the old
/// version's by more than this.
const FAILURE_MARGIN: f64 = 0.08;
/// Minimum number of good answers of both versions for the new one to count as slow.
const MIN_SLOW_ANSWERS: u32 = 12;
/// Ratio of mean answer times, new to old, beyond which the new version is slow. Targets of the
/// same version differ by less on average.
const SLOW_FACTOR: f64 = 3.0;
/// Additional margin of the mean answer time, in milliseconds: answer times of a few milliseconds
/// vary by more than the factor.
const SLOW_MARGIN_MS: f64 = 20.0;

/// Version moves that operators have ordered, one per service.
#[derive(Debug, Clone, Default)]
pub struct MoveTracker {
    moves: HashMap<ServiceName, MoveRecord>,
}

#[derive(Debug, Clone)]
struct MoveRecord {
    order: VersionOrder,
    /// Time of the order.
    ordered: MonoTime,
    phase: MovePhase,
    /// Answers of the new version at this instance.
    new: VersionTally,
    /// Answers of all other versions at this instance.
    old: VersionTally,
    /// Reported counts of the new and of all other versions, by peer.
    peers: HashMap<String, (VersionTally, VersionTally)>,
}

/// A phase that a move has reached and that is to be published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveDecision {
    /// The order of the move.
    pub order: VersionOrder,
    /// The phase that was reached.
    pub phase: MovePhase,
    /// The evidence for the decision, for logs.
    pub reason: String,
}

impl MoveTracker {
    /// Applies an order and the phase from its status row, if there is one. A later revision
    /// replaces the move; the same or an earlier one can only raise the phase.
    pub fn apply_order(&mut self, order: &VersionOrder, phase: Option<MovePhase>, now: MonoTime) {
        let known = self.moves.get_mut(&order.service);
        match known.filter(|known| known.order.revision >= order.revision) {
            Some(known) => known.phase = known.phase.max(phase.unwrap_or(MovePhase::Running)),
            None => {
                let record = MoveRecord {
                    order: order.clone(),
                    ordered: now,
                    phase: phase.unwrap_or(MovePhase::Running),
                    new: VersionTally::default(),
                    old: VersionTally::default(),
                    peers: HashMap::new(),
                };
                self.moves.insert(order.service.clone(), record);
            }
        }
    }

    /// Which versions may serve a request; `draw` is a random number in [0, 1).
    #[must_use]
    pub fn filter(&self, service: &str, draw: f64, now: MonoTime) -> VersionFilter<'_> {
        let Some(record) = self.moves.get(service) else { return VersionFilter::Any };
        let to = record.order.to.as_str();
        match record.phase {
            MovePhase::Completed => VersionFilter::Only(to),
            MovePhase::RolledBack => VersionFilter::Except(to),
            MovePhase::Running if draw < record.share(now) => VersionFilter::Only(to),
            MovePhase::Running => VersionFilter::Except(to),
        }
    }

    /// Whether a request may use another version if the selected one has no target. Nothing falls
    /// back to a version that was rolled back.
    #[must_use]
    pub fn may_fall_back(&self, service: &str) -> bool {
        let phase = self.moves.get(service).map(|record| record.phase);
        matches!(phase, Some(MovePhase::Running | MovePhase::Completed))
    }

    /// Counts an answer that took `hold`, or a failure if there is no `hold`.
    pub fn record_answer(&mut self, service: &str, version: &str, hold: Option<Duration>) {
        let Some(record) = self.moves.get_mut(service) else { return };
        let is_new = record.order.to == version;
        let tally = if is_new { &mut record.new } else { &mut record.old };
        match hold {
            Some(hold) => tally.record_good(hold),
            None => tally.bad += 1,
        }
    }

    /// Applies the report of a peer on the same move: raises the phase, moves the start back to the
    /// peer's if that is earlier, and replaces the peer's counts.
    pub fn apply_report(&mut self, peer: &str, report: &MoveReport, now: MonoTime) {
        let record = self.moves.get_mut(&report.service);
        let Some(record) = record.filter(|record| record.order.revision == report.revision) else {
            return;
        };
        record.phase = record.phase.max(report.phase);
        let elapsed = Duration::from_millis(u64::from(report.elapsed_ms));
        if elapsed > now.since(record.ordered) {
            record.ordered = MonoTime::from_micros(
                now.as_micros().saturating_sub(u64::try_from(elapsed.as_micros()).unwrap_or(0)),
            );
        }
        record.peers.insert(peer.to_owned(), (report.new, report.old));
    }

    /// Reports of this instance for its peers.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<MoveReport> {
        let report = |record: &MoveRecord| MoveReport {
            service: record.order.service.clone(),
            revision: record.order.revision,
            phase: record.phase,
            elapsed_ms: u32::try_from(now.since(record.ordered).as_millis()).unwrap_or(u32::MAX),
            new: record.new,
            old: record.old,
        };
        self.moves.values().map(report).collect()
    }

    /// Completes or rolls back running moves and returns the decisions. A failing or slow version
    /// is rolled back at once, one without a good answer at `COMPLETION_TIME`.
    pub fn decide(&mut self, now: MonoTime) -> Vec<MoveDecision> {
        let mut decisions = Vec::new();
        for record in self.moves.values_mut().filter(|record| record.phase == MovePhase::Running) {
            let (new, old) = record.combined();
            let phase = match (version_fault(&new, &old), record.elapsed_part(now)) {
                (Some(_), _) => MovePhase::RolledBack,
                // A version without a good answer must not take over.
                (None, elapsed_part) if elapsed_part >= COMPLETION_TIME && new.good == 0 => {
                    MovePhase::RolledBack
                }
                (None, elapsed_part) if elapsed_part >= COMPLETION_TIME => MovePhase::Completed,
                _ => continue,
            };
            record.phase = phase;
            let fault = version_fault(&new, &old).unwrap_or("time");
            let reason = format!(
                "{fault}: new {}/{} failed, {:.0} ms; old {}/{} failed, {:.0} ms",
                new.bad,
                new.total(),
                new.mean_hold_ms(),
                old.bad,
                old.total(),
                old.mean_hold_ms(),
            );
            decisions.push(MoveDecision { order: record.order.clone(), phase, reason });
        }
        decisions
    }
}

impl MoveRecord {
    fn elapsed_part(&self, now: MonoTime) -> f64 {
        let limit = self.order.time_limit.as_secs_f64().max(0.1);
        now.since(self.ordered).as_secs_f64() / limit
    }

    fn share(&self, now: MonoTime) -> f64 {
        match self.elapsed_part(now) {
            elapsed_part if elapsed_part < CANARY_END => CANARY_SHARE,
            elapsed_part if elapsed_part < RAMP_END => RAMP_SHARE,
            _ => 1.0,
        }
    }

    fn combined(&self) -> (VersionTally, VersionTally) {
        let (mut new, mut old) = (self.new, self.old);
        for (peer_new, peer_old) in self.peers.values() {
            new.add(peer_new);
            old.add(peer_old);
        }
        (new, old)
    }
}

/// Why the new version must be rolled back, if it must.
fn version_fault(new: &VersionTally, old: &VersionTally) -> Option<&'static str> {
    let failure_bound = 3.0 * old.failure_share() + FAILURE_MARGIN;
    let fails = new.bad >= MIN_FAILURES && new.failure_share() > failure_bound;
    let is_slow = new.good >= MIN_SLOW_ANSWERS
        && old.good >= MIN_SLOW_ANSWERS
        && new.mean_hold_ms() > SLOW_FACTOR * old.mean_hold_ms() + SLOW_MARGIN_MS;
    match (fails, is_slow) {
        (true, _) => Some("fails"),
        (false, true) => Some("slow"),
        (false, false) => None,
    }
}
