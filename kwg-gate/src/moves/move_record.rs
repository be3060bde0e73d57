mod move_steps;

use std::time::Duration;

use kwg_model::MonoTime;

use super::open_answer::OpenAnswer;
use super::peer_counts::PeerCounts;
use super::{
    MoveEvidence, MoveOptions, MovePhase, MoveReport, MoveStage, RampPlan, ReportSource,
    VersionOrder, VersionPresence,
};
use crate::VersionFilter;

/// Part of the time until the latest proof under load for which the new version is loaded first; the
/// rest is for answers that take longer.
const RAMP_PART: f64 = 0.6;
/// Latest proof under load, as a part of the time limit; a version without it is rolled back then.
const LATEST_LOAD_PROOF: f64 = 0.8;
/// Part of the tolerated exposure that is used before the proof under load. The rest is for a rate of
/// requests that changes meanwhile.
const PLANNED_EXPOSURE: f64 = 0.8;
/// Number of targets that is assumed while it is unknown.
const USUAL_TARGETS: u32 = 10;
/// Time for which an attempt may be open, as a part of the time limit, before it counts as undelivered.
const OVERDUE_TIME: f64 = 0.2;
/// Part of the exposure share that the canary phase uses; the rest is for the ramp.
const CANARY_PART: f64 = 0.8;
/// Part of the exposure requests that the canary phase uses.
const CANARY_SLACK_PART: f64 = 0.6;
/// Largest share of a route's requests that the new version gets during the canary phase.
const MAX_CANARY_SHARE: f64 = 0.3;
/// Time after the order from which the rate of requests is known well enough to size the canary phase, at
/// most; within a short move, a tenth of its time limit.
const RATE_WARM_UP: Duration = Duration::from_secs(1);
/// Longest time between an order and the moment at which an instance hears of it, as a part of the time
/// limit, if the instance has seen the whole move.
const MAX_HEAD_START: f64 = 0.1;

/// A version move as this instance knows it.
#[derive(Debug, Clone)]
pub(super) struct MoveRecord {
    pub(super) order: VersionOrder,
    pub(super) phase: MovePhase,
    /// When this instance heard of the order.
    heard: MonoTime,
    /// Time between the order and that moment, as far as peers report it.
    head_start: Duration,
    /// Targets that a version needs to serve alone.
    targets: u32,
    /// Whether the ordered version and others have targets.
    presence: VersionPresence,
    stage: MoveStage,
    /// Attempts at this instance that have not ended.
    open: u32,
    /// Answers at this instance since the proof, or since the order before it.
    own: MoveEvidence,
    /// Answers as reported by peers, since the same moment.
    peers: PeerCounts,
    /// Answers of all instances between the order and the proof.
    before_proof: MoveEvidence,
}

impl MoveRecord {
    pub(super) fn new(order: &VersionOrder, phase: MovePhase, now: MonoTime) -> Self {
        Self {
            order: order.clone(),
            phase,
            heard: now,
            head_start: Duration::ZERO,
            targets: USUAL_TARGETS,
            presence: VersionPresence::default(),
            stage: MoveStage::Canary,
            open: 0,
            own: MoveEvidence::default(),
            peers: PeerCounts::default(),
            before_proof: MoveEvidence::default(),
        }
    }

    /// Answers at this instance.
    pub(super) fn evidence_mut(&mut self) -> &mut MoveEvidence {
        &mut self.own
    }

    /// Records that an attempt at this instance has been sent.
    pub(super) fn record_begun(&mut self) {
        self.open += 1;
    }

    /// Records that such an attempt has ended.
    pub(super) fn record_ended(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Which version may serve a request of a route while the move is running; `draw` is a random
    /// number in [0, 1).
    pub(super) fn filter(
        &self,
        options: &MoveOptions,
        route: &str,
        draw: f64,
        now: MonoTime,
    ) -> VersionFilter<'_> {
        let version = self.order.to.as_str();
        let (share, admitted) = match self.stage {
            MoveStage::Canary => {
                (self.canary_share(options, route, now), VersionFilter::Only(version))
            }
            MoveStage::Ramp { proved_ms, plan } => {
                let admitted = VersionFilter::Part { version, targets: plan.targets };
                let proved = Duration::from_millis(u64::from(proved_ms));
                (plan.share(self.elapsed(now).saturating_sub(proved)), admitted)
            }
            MoveStage::Alone { .. } => return VersionFilter::Only(version),
        };
        if draw < share { admitted } else { VersionFilter::Except(version) }
    }

    /// Whether old versions serve as well.
    pub(super) fn serves_both(&self) -> bool {
        !matches!(self.stage, MoveStage::Alone { .. })
    }

    fn canary_share(&self, options: &MoveOptions, route: &str, now: MonoTime) -> f64 {
        let share = CANARY_PART * options.exposure_share;
        if self.elapsed(now) < RATE_WARM_UP.min(self.order.time_limit / 10) {
            return share;
        }
        let evidence = self.combined();
        let slack = CANARY_SLACK_PART * options.exposure_requests / self.expected_requests(now);
        ((share + slack) * evidence.route_factor(route)).min(MAX_CANARY_SHARE)
    }

    /// Records that the new version is proved good. Its answers count from anew, so that those of the
    /// canary phase, with little load, do not hide faults that appear under load.
    pub(super) fn set_proved(&mut self, options: &MoveOptions, now: MonoTime) {
        let plan = self.plan_ramp(options, now);
        self.set_stage(MoveStage::Ramp { proved_ms: millis(self.elapsed(now)), plan });
    }

    /// Records that the new version is proved good under load.
    pub(super) fn set_load_proved(&mut self, now: MonoTime) {
        let proved_ms = match self.stage {
            MoveStage::Canary => millis(self.elapsed(now)),
            MoveStage::Ramp { proved_ms, .. } | MoveStage::Alone { proved_ms } => proved_ms,
        };
        self.set_stage(MoveStage::Alone { proved_ms });
    }

    fn set_stage(&mut self, stage: MoveStage) {
        if !self.stage.is_proved() {
            self.before_proof = self.combined();
            self.own = MoveEvidence::default();
            self.peers.clear();
        }
        self.stage = stage;
    }

    /// Applies how many targets a version needs to serve alone, if it is known.
    pub(super) fn set_targets(&mut self, targets: u32) {
        if targets > 0 {
            self.targets = targets;
        }
    }

    /// Applies whether the ordered version and others have targets.
    pub(super) fn set_presence(&mut self, presence: VersionPresence) {
        self.presence = presence;
    }

    /// Plans the ramp, within the exposure that the canary phase has left.
    fn plan_ramp(&self, options: &MoveOptions, now: MonoTime) -> RampPlan {
        let part = self.part_of(self.elapsed(now));
        let slack = options.exposure_requests / self.expected_requests(now);
        let tolerated = PLANNED_EXPOSURE * (options.exposure_share + slack);
        let canary = CANARY_PART * options.exposure_share + CANARY_SLACK_PART * slack;
        let used = canary.min(MAX_CANARY_SHARE) * part;
        let limit = self.order.time_limit;
        let exposure = limit.mul_f64((tolerated - used).max(0.0));
        RampPlan::new(exposure, limit.mul_f64(ramp_time(part)), self.targets)
    }

    /// Applies the report of a peer on the same move: raises the phase, moves the start back to the
    /// peer's if that is earlier, takes over its proof and replaces its counts.
    pub(super) fn apply_report(
        &mut self,
        source: ReportSource<'_>,
        report: &MoveReport,
        now: MonoTime,
    ) {
        self.phase = self.phase.max(report.phase);
        let elapsed = Duration::from_millis(u64::from(report.elapsed_ms));
        self.head_start += elapsed.saturating_sub(self.elapsed(now));
        if report.stage.is_after(&self.stage) {
            self.set_stage(report.stage);
        }
        if self.stage.is_proved() == report.stage.is_proved() {
            self.peers.record(source, &report.evidence);
        }
    }

    /// The report of this instance for its peers. `open` are its attempts that have not ended.
    pub(super) fn report<'a>(
        &self,
        open: impl Iterator<Item = &'a OpenAnswer>,
        now: MonoTime,
    ) -> MoveReport {
        let mut evidence = self.own.clone();
        self.add_overdue(&mut evidence, open, now);
        MoveReport {
            service: self.order.service.clone(),
            revision: self.order.revision,
            phase: self.phase,
            elapsed_ms: millis(self.elapsed(now)),
            stage: self.stage,
            evidence,
            past: Vec::new(),
        }
    }

    /// Adds the attempts of this move that have been open for too long.
    fn add_overdue<'a>(
        &self,
        evidence: &mut MoveEvidence,
        open: impl Iterator<Item = &'a OpenAnswer>,
        now: MonoTime,
    ) {
        let limit = self.order.time_limit.mul_f64(OVERDUE_TIME);
        let is_overdue = |open: &&OpenAnswer| {
            (&open.service, open.revision) == (&self.order.service, self.order.revision)
                && now.since(open.started) > limit
        };
        open.filter(is_overdue)
            .for_each(|open| evidence.record_overdue(open.route.as_str(), open.is_new));
    }

    /// Answers of all instances.
    fn combined(&self) -> MoveEvidence {
        let mut evidence = self.own.clone();
        self.peers.add_to(&mut evidence);
        evidence
    }

    /// Requests for the service between the order and its time limit at the rate seen so far; at
    /// least one.
    fn expected_requests(&self, now: MonoTime) -> f64 {
        let part = self.part_of(self.elapsed(now));
        let ended = self.with_canary(&self.combined()).total();
        // The first answers may take a large part of the move. Peers are taken to have as many open ones.
        let open = self.open.saturating_mul(self.peers.sources().saturating_add(1));
        let total = if open > ended { ended.saturating_add(open) } else { ended };
        (f64::from(total) / part.max(1e-3)).max(1.0)
    }

    /// Whether this instance started within the move, or was cut off at its start.
    fn is_late(&self) -> bool {
        self.part_of(self.head_start) > MAX_HEAD_START
    }

    /// Time since the order.
    fn elapsed(&self, now: MonoTime) -> Duration {
        self.head_start + now.since(self.heard)
    }

    /// A time since the order, as a part of its time limit.
    fn part_of(&self, elapsed: Duration) -> f64 {
        elapsed.as_secs_f64() / self.order.time_limit.as_secs_f64().max(0.1)
    }
}

/// Time for which a version that is proved at this part of the time limit is loaded before its proof under
/// load, as a part of the time limit.
fn ramp_time(proved: f64) -> f64 {
    RAMP_PART * (LATEST_LOAD_PROOF - proved).max(0.0)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
