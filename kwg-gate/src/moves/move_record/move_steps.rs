use std::time::Duration;

use kwg_decide::{JudgeOptions, JudgeVerdict};
use kwg_model::MonoTime;

use super::{LATEST_LOAD_PROOF, MoveRecord, ramp_time};
use crate::moves::move_step::MoveStep;
use crate::moves::open_answer::OpenAnswer;
use crate::{MoveEvidence, MoveOptions, MovePhase, MoveStage, VersionPresence, VersionTally};

/// Earliest proof, as a part of the time limit: versions whose failures begin late are detected.
const CANARY_END: f64 = 0.45;
/// Latest proof, as a part of the time limit; a version without it is rolled back then.
const LATEST_PROOF: f64 = 0.7;
/// Earliest completion, as a part of the time limit. Old targets stop at that moment, so the requests
/// at them need the time since the proof under load.
const COMPLETION_TIME: f64 = 0.82;
/// Latest completion, as a part of the time limit, if old targets are still at work. What is left is
/// for the write to the store.
const LATEST_COMPLETION: f64 = 0.9;
/// Time within which an instance that starts within a move hears of most peers' counts; it takes no decision
/// before.
const LEARNING_TIME: Duration = Duration::from_secs(1);
/// Longest time between an order and the moment at which an instance hears of it, if the instance was running.
const LONGEST_HEAD_START: Duration = Duration::from_secs(1);
/// Tolerances of the comparison. The judge sees totals, which are one batch.
const JUDGE_OPTIONS: JudgeOptions = JudgeOptions {
    false_alarm: 0.005,
    batches: 1.0,
    // A target that breaks off the few requests of its batch at once is no evidence against a version.
    failure_tolerance: 0.05,
    failure_harm: 0.35,
    slow_quantile: 0.9,
    slow_tolerance: 0.08,
    slow_harm: 0.25,
    false_acceptance: 0.05,
    warm_up: 20,
};
/// From how many times the pace that few old answers exceed an answer of a proved version is slow. Few targets
/// serve the ramp, and afterwards no old target has the same load, so smaller differences say nothing
/// about the version.
const PROVED_SLOW_FACTOR: f64 = 2.8;
/// Tolerances of the proof under load, over all routes.
const LOADED_OPTIONS: JudgeOptions =
    JudgeOptions { failure_harm: 0.15, false_acceptance: 0.1, ..JUDGE_OPTIONS };
/// Maximum probability that a harmful version is taken for a good one, if it may get no more requests
/// than are tolerated.
const WEAK_ACCEPTANCE: f64 = 0.3;
/// Tolerated increase in the part of answers that are undelivered, if they are too few for a proof.
const FEW_TOLERANCE: f64 = 0.15;

impl MoveRecord {
    /// What follows from the evidence. `open` are the attempts of this instance that have not ended,
    /// and `old_running` is the number of requests that run at targets of other versions.
    pub(in crate::moves) fn step<'a>(
        &self,
        options: &MoveOptions,
        open: impl Iterator<Item = &'a OpenAnswer>,
        old_running: impl FnOnce() -> u32,
        now: MonoTime,
    ) -> MoveStep {
        if self.is_learning(now) {
            return MoveStep::Continue;
        }
        let mut evidence = self.combined();
        self.add_overdue(&mut evidence, open, now);
        let verdict = self.verdict(&evidence);
        if self.is_only_version(&evidence) {
            return self.only_version_step(now);
        }
        if let JudgeVerdict::Bad(reason) = verdict {
            return MoveStep::End(MovePhase::RolledBack, reason);
        }
        match self.stage {
            MoveStage::Canary => self.canary_step(options, &evidence, verdict, now),
            MoveStage::Ramp { proved_ms, .. } => {
                let proved = Duration::from_millis(u64::from(proved_ms));
                self.ramp_step(options, &evidence, proved, now)
            }
            MoveStage::Alone { .. } => self.last_step(&evidence, old_running, now),
        }
    }

    /// Whether this instance started within the move so recently that peers' counts may be unknown.
    fn is_learning(&self, now: MonoTime) -> bool {
        (self.is_late() || self.head_start > LONGEST_HEAD_START)
            && now.since(self.heard) < LEARNING_TIME
    }

    /// Whether no other version has targets, or has answered within the move.
    fn is_only_version(&self, evidence: &MoveEvidence) -> bool {
        self.presence == VersionPresence::Sole
            && self.with_canary(evidence).old_total().total() == 0
    }

    /// What follows for a version that serves alone since before the order. No other one can take over, so
    /// its answers do not matter.
    fn only_version_step(&self, now: MonoTime) -> MoveStep {
        if self.part_of(self.elapsed(now)) < COMPLETION_TIME {
            return MoveStep::Continue;
        }
        MoveStep::End(MovePhase::Completed, "no other version serves".to_owned())
    }

    fn canary_step(
        &self,
        options: &MoveOptions,
        evidence: &MoveEvidence,
        verdict: JudgeVerdict,
        now: MonoTime,
    ) -> MoveStep {
        let part = self.part_of(self.elapsed(now));
        match verdict {
            _ if part < CANARY_END => MoveStep::Continue,
            JudgeVerdict::Good(reason) => MoveStep::Prove(reason),
            _ if self.is_tolerable(options, evidence, now) => {
                MoveStep::Prove("all of its requests are within the tolerated exposure".to_owned())
            }
            _ if part < LATEST_PROOF => MoveStep::Continue,
            _ => {
                let new = evidence.new_total();
                let (all, failures) = (new.total(), new.failures());
                MoveStep::Fail(format!("not proved in time: {all} answers, {failures} undelivered"))
            }
        }
    }

    fn ramp_step(
        &self,
        options: &MoveOptions,
        evidence: &MoveEvidence,
        proved: Duration,
        now: MonoTime,
    ) -> MoveStep {
        let part = self.part_of(self.elapsed(now));
        let (new, all) = (evidence.new_total(), self.with_canary(evidence));
        let (answers, failures) = (new.total(), new.failures());
        // Trouble of both versions at that time is in the answers since the proof, if old targets are left.
        let is_known = u64::from(evidence.old_total().total()) >= LOADED_OPTIONS.warm_up;
        let standard = if is_known { evidence } else { &all };
        let proved = self.part_of(proved);
        if part < proved + ramp_time(proved) {
            MoveStep::Continue
        } else if part <= COMPLETION_TIME && evidence.rules_out_failures(standard, LOADED_OPTIONS) {
            MoveStep::ProveLoaded(format!("loaded: {answers} answers, {failures} undelivered"))
        } else if self.is_tolerable(options, &all, now) {
            MoveStep::ProveLoaded("the rest is within the tolerated exposure".to_owned())
        } else if part < LATEST_LOAD_PROOF {
            MoveStep::Continue
        } else {
            MoveStep::Fail(format!(
                "not proved under load in time: {answers} answers, {failures} undelivered"
            ))
        }
    }

    fn last_step(
        &self,
        evidence: &MoveEvidence,
        old_running: impl FnOnce() -> u32,
        now: MonoTime,
    ) -> MoveStep {
        let part = self.part_of(self.elapsed(now));
        if part < COMPLETION_TIME {
            return MoveStep::Continue;
        }
        if self.presence == VersionPresence::Absent {
            return match part < LATEST_COMPLETION {
                true => MoveStep::Continue,
                false => MoveStep::Fail("it has no targets at its completion".to_owned()),
            };
        }
        match old_running() {
            running if running > 0 && part < LATEST_COMPLETION => MoveStep::Continue,
            running => {
                let total = evidence.new_total().total();
                let reason = format!("{total} answers; {running} requests at the old version");
                MoveStep::End(MovePhase::Completed, reason)
            }
        }
    }

    /// Compares the versions by the answers since the proof, and by all.
    fn verdict(&self, evidence: &MoveEvidence) -> JudgeVerdict {
        if !self.stage.is_proved() {
            return evidence.verdict(JUDGE_OPTIONS, 1.0);
        }
        match evidence.verdict(JUDGE_OPTIONS, PROVED_SLOW_FACTOR) {
            JudgeVerdict::Bad(reason) => JudgeVerdict::Bad(reason),
            _ => self.with_canary(evidence).verdict(JUDGE_OPTIONS, PROVED_SLOW_FACTOR),
        }
    }

    /// Answers since the proof and before it.
    pub(super) fn with_canary(&self, evidence: &MoveEvidence) -> MoveEvidence {
        let mut all = self.before_proof.clone();
        all.add(evidence);
        all
    }

    /// Whether the new version may go on without a full proof, since so few requests are left that all
    /// of them are within the tolerated exposure. Its answers must speak for it, as far as there are
    /// enough to tell.
    fn is_tolerable(&self, options: &MoveOptions, evidence: &MoveEvidence, now: MonoTime) -> bool {
        // Requests before a restart of this instance are not known to it, so there may be many more.
        if self.is_late() {
            return false;
        }
        let (all, new) = (self.expected_requests(now), evidence.new_total());
        let exposed = f64::from(new.total()) + all - f64::from(evidence.total());
        let speaks_for_it = || {
            let options = JudgeOptions { false_acceptance: WEAK_ACCEPTANCE, ..JUDGE_OPTIONS };
            matches!(evidence.verdict(options, 1.0), JudgeVerdict::Good(_))
        };
        let failed_part =
            |tally: &VersionTally| f64::from(tally.failures()) / f64::from(tally.total().max(1));
        let is_usual = failed_part(&new) <= failed_part(&evidence.old_total()) + FEW_TOLERANCE;
        let is_rare = all <= options.exposure_requests && new.paces.total() > 0 && is_usual;
        let tolerated = options.exposure_share * all + options.exposure_requests;
        is_rare || (exposed <= tolerated && speaks_for_it())
    }
}
