use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use super::{MovePhase, MoveReport, VersionOrder, VersionTally};
use crate::{ServiceName, VersionFilter};

/// Share of the traffic that tries a new version; a bad one may get a tenth.
const TRIAL_SHARE: f64 = 0.05;
/// Part of the time limit for which the trial lasts: some versions turn bad late.
const TRIAL_PART: f64 = 0.45;
/// Part of it from which the new version serves alone.
const ALONE_PART: f64 = 0.6;
/// Part of it after which the move is completed. Old targets stop at once then, so their last
/// requests get the time since [`ALONE_PART`].
const COMPLETE_PART: f64 = 0.82;
/// Share of the traffic for the new version between trial and alone.
const RAMP_SHARE: f64 = 0.5;
/// Failures before a version can count as bad: fewer may be chance.
const MIN_FAILURES: u32 = 4;
/// Share of failures beyond three times that of the old version which is bad.
const FAILURE_MARGIN: f64 = 0.08;
/// Answers before a version can count as slow.
const MIN_SLOW_ANSWERS: u32 = 12;
/// How many times longer than the old one's a slow version's answers take. Targets of one version
/// differ by less on average.
const SLOW_FACTOR: f64 = 3.0;
/// How much longer they take besides, in milliseconds: answers of a few milliseconds vary by more.
const SLOW_MARGIN_MS: f64 = 20.0;

/// The moves that operators have ordered.
#[derive(Debug, Clone, Default)]
pub struct MoveBook {
    moves: HashMap<ServiceName, MoveRecord>,
}

#[derive(Debug, Clone)]
struct MoveRecord {
    order: VersionOrder,
    ordered: MonoTime,
    phase: MovePhase,
    new: VersionTally,
    old: VersionTally,
    peers: HashMap<String, (VersionTally, VersionTally)>,
}

/// A phase that has been reached and is to be made known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveDecision {
    /// The order.
    pub order: VersionOrder,
    /// The phase.
    pub phase: MovePhase,
    /// What it was decided on.
    pub reason: String,
}

impl MoveBook {
    /// Takes an order, and the phase that its status row names, if there is one.
    pub fn take_order(&mut self, order: &VersionOrder, phase: Option<MovePhase>, now: MonoTime) {
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

    /// Which versions a request may go to, for a draw from 0 to 1.
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

    /// Whether a request may go to another version where the meant one has no target. Nothing goes
    /// back to a version that was taken back.
    #[must_use]
    pub fn may_fall_back(&self, service: &str) -> bool {
        let phase = self.moves.get(service).map(|record| record.phase);
        matches!(phase, Some(MovePhase::Running | MovePhase::Completed))
    }

    /// Counts an answer, or a failure if there is no time.
    pub fn note_answer(&mut self, service: &str, version: &str, hold: Option<Duration>) {
        let Some(record) = self.moves.get_mut(service) else { return };
        let is_new = record.order.to == version;
        let tally = if is_new { &mut record.new } else { &mut record.old };
        match hold {
            Some(hold) => tally.note_good(hold),
            None => tally.bad += 1,
        }
    }

    /// Takes what a peer knows.
    pub fn take_report(&mut self, peer: &str, report: &MoveReport, now: MonoTime) {
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

    /// What this instance tells its peers.
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

    /// Decides which moves have reached a phase; a bad version is left at once.
    pub fn decide(&mut self, now: MonoTime) -> Vec<MoveDecision> {
        let mut decisions = Vec::new();
        for record in self.moves.values_mut().filter(|record| record.phase == MovePhase::Running) {
            let (new, old) = record.pooled();
            let phase = match (fault_of(&new, &old), record.part(now)) {
                (Some(_), _) => MovePhase::RolledBack,
                // What has not been tried cannot take over.
                (None, part) if part >= COMPLETE_PART && new.good == 0 => MovePhase::RolledBack,
                (None, part) if part >= COMPLETE_PART => MovePhase::Completed,
                _ => continue,
            };
            record.phase = phase;
            let fault = fault_of(&new, &old).unwrap_or("time");
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
    fn part(&self, now: MonoTime) -> f64 {
        let limit = self.order.time_limit.as_secs_f64().max(0.1);
        now.since(self.ordered).as_secs_f64() / limit
    }

    fn share(&self, now: MonoTime) -> f64 {
        match self.part(now) {
            part if part < TRIAL_PART => TRIAL_SHARE,
            part if part < ALONE_PART => RAMP_SHARE,
            _ => 1.0,
        }
    }

    fn pooled(&self) -> (VersionTally, VersionTally) {
        let (mut new, mut old) = (self.new, self.old);
        for (peer_new, peer_old) in self.peers.values() {
            new.add(peer_new);
            old.add(peer_old);
        }
        (new, old)
    }
}

/// What is wrong with a version, if anything is.
fn fault_of(new: &VersionTally, old: &VersionTally) -> Option<&'static str> {
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
