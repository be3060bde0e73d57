use std::time::Duration;

use kwg_model::MonoTime;

/// Half-life of the answer counts, so that a recovered target is used again within seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Consecutive failures after which a target is paused: it gets no new requests for a while.
const FAILURES_TO_PAUSE: u32 = 2;
/// The first pause; it doubles with every failed probe.
const MIN_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause. It is short because a crashed target returns within seconds.
const MAX_PAUSE: Duration = Duration::from_millis(3_200);

/// Health of a target, derived from its answers; the target's own health reports are not used. Acts
/// as a circuit breaker: after a pause, one probe request at a time is sent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetHealth {
    /// Good answers, decayed to the time `updated`.
    good: f64,
    /// Failures, decayed to the time `updated`.
    bad: f64,
    updated: MonoTime,
    /// Failures of this instance's attempts since the last success.
    failure_streak: u32,
    /// Pauses since the last success.
    pauses: u32,
    paused_until: MonoTime,
    /// Whether the probe has been sent and has not ended.
    is_probing: bool,
}

impl TargetHealth {
    pub(crate) fn record_success(&mut self, now: MonoTime) {
        self.decay(now);
        self.good += 1.0;
        (self.failure_streak, self.pauses, self.is_probing) = (0, 0, false);
        self.paused_until = MonoTime::ZERO;
    }

    pub(crate) fn record_failure(&mut self, now: MonoTime) {
        self.decay(now);
        self.bad += 1.0;
        self.failure_streak += 1;
        self.is_probing = false;
        if self.failure_streak >= FAILURES_TO_PAUSE && now >= self.paused_until {
            let pause = MIN_PAUSE * 2_u32.pow(self.pauses.min(8));
            self.paused_until = now + pause.min(MAX_PAUSE);
            self.pauses += 1;
        }
    }

    /// Adds the answers that another instance has counted since its last report.
    pub(crate) fn record_reported(&mut self, good: u32, bad: u32, now: MonoTime) {
        self.decay(now);
        self.good += f64::from(good);
        self.bad += f64::from(bad);
    }

    /// Whether a request may be sent: none during a pause, and one probe at a time after it.
    pub(crate) fn accepts_requests(&self, now: MonoTime) -> bool {
        now >= self.paused_until && !(self.failure_streak >= FAILURES_TO_PAUSE && self.is_probing)
    }

    /// Records that a request is being sent; after a pause it is the probe.
    pub(crate) fn record_sent(&mut self) {
        self.is_probing = self.failure_streak >= FAILURES_TO_PAUSE;
    }

    /// Records that an attempt ended without evidence of the target's health.
    pub(crate) fn record_no_evidence(&mut self) {
        self.is_probing = false;
    }

    /// Share of failures among the recent answers, smoothed by two assumed good answers.
    pub(crate) fn failure_share(&self, now: MonoTime) -> f64 {
        let mut decayed = *self;
        decayed.decay(now);
        decayed.bad / (decayed.bad + decayed.good + 2.0)
    }

    fn decay(&mut self, now: MonoTime) {
        let age = now.since(self.updated).as_secs_f64();
        let factor = 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64());
        self.good *= factor;
        self.bad *= factor;
        self.updated = now;
    }
}
