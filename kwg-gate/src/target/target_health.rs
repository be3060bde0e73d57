use std::time::Duration;

use kwg_model::MonoTime;

/// How fast old failures are forgotten: a target that recovered is tried again within seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Failures in a row after which a target gets no new work for a while.
const FAILURES_TO_PAUSE: u32 = 2;
/// The first pause; it doubles while every probe fails.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause: a crashed target is back within seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(3_200);

/// What a target's answers say about its health; what it says itself is not asked.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetHealth {
    good: f64,
    bad: f64,
    updated: MonoTime,
    streak: u32,
    pauses: u32,
    paused_until: MonoTime,
    is_probing: bool,
}

impl TargetHealth {
    pub(crate) fn note_success(&mut self, now: MonoTime) {
        self.fade(now);
        self.good += 1.0;
        (self.streak, self.pauses, self.is_probing) = (0, 0, false);
        self.paused_until = MonoTime::ZERO;
    }

    pub(crate) fn note_failure(&mut self, now: MonoTime) {
        self.fade(now);
        self.bad += 1.0;
        self.streak += 1;
        self.is_probing = false;
        if self.streak >= FAILURES_TO_PAUSE && now >= self.paused_until {
            let pause = FIRST_PAUSE * 2_u32.pow(self.pauses.min(8));
            self.paused_until = now + pause.min(LONGEST_PAUSE);
            self.pauses += 1;
        }
    }

    /// Adds what another instance has seen since its last report.
    pub(crate) fn note_reported(&mut self, good: u32, bad: u32, now: MonoTime) {
        self.fade(now);
        self.good += f64::from(good);
        self.bad += f64::from(bad);
    }

    /// Whether work may be sent: not during a pause, and one probe at a time after it.
    pub(crate) fn is_open(&self, now: MonoTime) -> bool {
        now >= self.paused_until && !(self.streak >= FAILURES_TO_PAUSE && self.is_probing)
    }

    /// Notes that work is on its way; after a pause this is the probe.
    pub(crate) fn note_sent(&mut self) {
        self.is_probing = self.streak >= FAILURES_TO_PAUSE;
    }

    /// The attempt ended without telling anything.
    pub(crate) fn note_no_answer(&mut self) {
        self.is_probing = false;
    }

    /// The share of failures among the recent answers, cautious about few of them.
    pub(crate) fn failure_share(&self, now: MonoTime) -> f64 {
        let mut faded = *self;
        faded.fade(now);
        faded.bad / (faded.bad + faded.good + 2.0)
    }

    fn fade(&mut self, now: MonoTime) {
        let age = now.since(self.updated).as_secs_f64();
        let factor = 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64());
        self.good *= factor;
        self.bad *= factor;
        self.updated = now;
    }
}
