use std::time::Duration;

use kwg_model::MonoTime;

use super::learned_mean::LearnedMean;
use super::load_curve::LoadCurve;
use super::placement::FIRST_TOKEN_MS;
use super::pooled_mean::PooledMean;
use super::target_capacity::{PauseFit, TargetCapacity};
use crate::{AttemptSample, StreamPromise, TargetReport};

/// Prior for the time of a decoding step, in milliseconds; counts as one sample in the mean.
pub(crate) const PRIOR_STEP_MS: f64 = 3.0;
/// Prior for the time of a request that is not a generation, in milliseconds; counts as one sample
/// in the mean.
const PRIOR_HOLD_MS: f64 = 60.0;
/// Prompt tokens that an engine reads in the time of one decoding step; between 236 and 300,
/// depending on the site.
pub(crate) const TOKENS_READ_PER_STEP: f64 = 260.0;
/// Prompt tokens from which on the time to the first event shows how fast prompts are read: shorter ones take
/// no longer than the other parts of that time.
const MEASURED_PROMPT: u64 = 1_000;
/// Prompt tokens that an engine is assumed to read between two steps.
const CHUNK_TOKENS: f64 = 2_048.0;
/// Mean part of a step that is under way when a request arrives.
const STARTED_STEP: f64 = 0.5;
/// Bounds of a measured time for one prompt token, in milliseconds: a tenth and 20 times the usual times, so that a
/// request which waited in the target's queue doesn't count as slow reading without bound.
const MIN_READ_MS: f64 = 0.000_5;
const MAX_READ_MS: f64 = 0.25;
/// Time in which the weight of times of tokens halves: a fleet gives a target several samples a second, and a change
/// is to be followed within two.
const STEP_HALF_LIFE: Duration = Duration::from_millis(600);
/// The same for the other figures: there is one sample for each answer only, and the longest pauses of streams differ
/// much.
const ANSWER_HALF_LIFE: Duration = Duration::from_secs(5);
/// Upper bound of a measured time for a prompt token in relation to the learned one: a longer one was spent in the
/// target's queue, or with other prompts.
const MAX_READ_RISE: f64 = 2.0;
/// Weight of the pooled samples from which on they say something about the number of requests that a target takes.
const EVIDENT_WEIGHT: f64 = 3.0;
/// Part of a new load in the smoothed one: the times of tokens are means of about a second, or five intervals.
const LOAD_SHARE: f64 = 0.2;

/// What is learned of the speed of one run of a target: this instance's measurements, and the figures from those of
/// all instances.
#[derive(Debug, Clone)]
pub(crate) struct TargetSpeed {
    /// Time of a decoding step in this instance's streams, in milliseconds.
    step_ms: LearnedMean,
    /// Duration of this instance's successful attempts, in milliseconds.
    hold_ms: LearnedMean,
    /// Time in which one prompt token was read for this instance's streams, in milliseconds.
    read_ms: LearnedMean,
    /// Longest pause between events of each of this instance's streams, in milliseconds.
    gap_ms: LearnedMean,
    /// When a part of a stream was added last.
    paced: Option<MonoTime>,
    pooled: SpeedFigures,
    /// The figures of the service, from which a target without evidence begins.
    prior_step_ms: f64,
    curve: LoadCurve,
    /// Mean load in the last second.
    load: f64,
    capacity: TargetCapacity,
}

/// Figures of a target from the evidence of all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct SpeedFigures {
    /// Time of a token, in milliseconds.
    pub(crate) step_ms: f64,
    /// Number of samples in `step_ms`.
    pub(crate) step_weight: f64,
    /// Time in which a prompt token is read, in milliseconds.
    pub(crate) read_ms: f64,
    /// Number of samples in `read_ms`.
    pub(crate) read_weight: f64,
    /// Duration of an attempt, in milliseconds.
    pub(crate) hold_ms: f64,
    /// Number of samples in `hold_ms`.
    pub(crate) hold_weight: f64,
    /// Mean of the longest pause of each stream, in milliseconds.
    pub(crate) gap_ms: f64,
}

impl TargetSpeed {
    pub(crate) fn new(slots: u32) -> Self {
        let mut speed = Self {
            step_ms: LearnedMean::empty(STEP_HALF_LIFE),
            hold_ms: LearnedMean::empty(ANSWER_HALF_LIFE),
            read_ms: LearnedMean::empty(ANSWER_HALF_LIFE),
            gap_ms: LearnedMean::empty(ANSWER_HALF_LIFE),
            paced: None,
            pooled: SpeedFigures::default(),
            prior_step_ms: PRIOR_STEP_MS,
            curve: LoadCurve::default(),
            load: 0.0,
            capacity: TargetCapacity::new(slots),
        };
        speed.pool(std::iter::empty());
        speed
    }

    pub(crate) fn figures(&self) -> &SpeedFigures {
        &self.pooled
    }

    /// Number of requests up to which the target keeps the pauses of its streams.
    pub(crate) fn capacity(&self) -> u32 {
        self.capacity.slots()
    }

    /// Time of a token if one more request runs, in milliseconds.
    pub(crate) fn next_step_ms(&self) -> f64 {
        self.curve.step_with(self.pooled.step_ms, 1.0)
    }

    /// By how much one more request lengthens the time of a token, in milliseconds.
    pub(crate) fn growth_ms(&self) -> f64 {
        self.curve.growth_ms(self.pooled.step_ms)
    }

    /// Adds the measurements of a successful attempt.
    pub(crate) fn add_sample(&mut self, sample: &AttemptSample, now: MonoTime) {
        self.hold_ms.add(sample.hold.as_secs_f64() * 1e3, now);
        // A stream whose parts have been added says nothing new, but may report a pace of long ago.
        let has_parts = self.paced.is_some_and(|at| now.since(at) < sample.hold);
        if let Some(gap) = sample.event_gap.filter(|_| !has_parts) {
            self.step_ms.add(gap.as_secs_f64() * 1e3 / sample.tokens_per_event.max(1.0), now);
        }
        if let Some(gap) = sample.longest_gap {
            self.gap_ms.add(gap.as_secs_f64() * 1e3, now);
        }
    }

    /// Adds the time of a part of a stream that runs.
    pub(crate) fn add_pace(&mut self, tokens: f64, span: Duration, now: MonoTime) {
        if tokens > 0.0 {
            self.paced = Some(now);
            self.step_ms.add(span.as_secs_f64() * 1e3 / tokens, now);
        }
    }

    /// Learns from the first event of a stream, which came after `first_ms`, how fast the target reads prompts.
    /// Prompts of other requests that are read before it count as its own.
    pub(crate) fn add_reading(
        &mut self,
        prompt_tokens: u64,
        first_ms: f64,
        event_tokens: f64,
        now: MonoTime,
    ) {
        if prompt_tokens < MEASURED_PROMPT {
            return;
        }
        let chunks = prompt_tokens as f64 / CHUNK_TOKENS;
        let steps = event_tokens + STARTED_STEP + chunks;
        let read_ms = first_ms - FIRST_TOKEN_MS - steps * self.pooled.step_ms;
        let sample = (read_ms / prompt_tokens as f64).clamp(MIN_READ_MS, MAX_READ_MS);
        let sample = sample.min(MAX_READ_RISE * self.pooled.read_ms);
        self.read_ms.add(sample, now);
    }

    /// Computes the figures from this instance's measurements and those in `reports`, with their ages.
    pub(crate) fn pool<'a>(&mut self, reports: impl Iterator<Item = (&'a TargetReport, Duration)>) {
        let [mut step, mut read, mut hold, mut gap] =
            [self.step_ms, self.read_ms, self.hold_ms, self.gap_ms].map(PooledMean::new);
        for (report, age) in reports {
            if report.step_weight > 0 {
                let remainder = self.step_ms.remainder(age);
                step.add(f64::from(report.step_us) / 1e3, report.step_weight, remainder);
            }
            // Most instances have sent nothing to a target in the last seconds.
            if report.read_weight | report.hold_weight | report.gap_weight == 0 {
                continue;
            }
            let answers = self.hold_ms.remainder(age);
            let read_ms = (f64::from(report.read_ns) / 1e6).min(MAX_READ_MS);
            read.add(read_ms, report.read_weight, answers);
            hold.add(f64::from(report.hold_ms), report.hold_weight, answers);
            gap.add(f64::from(report.gap_ms), report.gap_weight, answers);
        }
        let step_ms = step.mean(self.prior_step_ms);
        self.pooled = SpeedFigures {
            step_ms,
            step_weight: step.weight(),
            read_ms: read.mean(step_ms / TOKENS_READ_PER_STEP),
            read_weight: read.weight(),
            hold_ms: hold.mean(PRIOR_HOLD_MS),
            hold_weight: hold.weight(),
            gap_ms: gap.mean(0.0),
        };
    }

    /// Fades the measurements.
    pub(crate) fn fade(&mut self, now: MonoTime) {
        for mean in [&mut self.step_ms, &mut self.hold_ms, &mut self.read_ms, &mut self.gap_ms] {
            mean.fade(now);
        }
    }

    /// Sets the time of a token from which a target without evidence begins.
    pub(crate) fn set_prior(&mut self, step_ms: f64) {
        self.prior_step_ms = step_ms;
    }

    /// Records the load of an interval; returns how the target keeps the promised pause, or `None` without evidence.
    pub(crate) fn observe(
        &mut self,
        load: u32,
        promise: Option<&StreamPromise>,
    ) -> Option<PauseFit> {
        self.load += LOAD_SHARE * (f64::from(load) - self.load);
        let SpeedFigures { step_ms, step_weight, .. } = self.pooled;
        if step_weight < EVIDENT_WEIGHT {
            return None;
        }
        self.curve.add(self.load, step_ms);
        let promise = promise?;
        let event_ms = promise.gap?.as_secs_f64() * 1e3 / promise.event_tokens.max(1.0);
        Some(PauseFit::new(&self.curve, self.load, step_ms, event_ms))
    }

    /// Moves the capacity towards the `fit`.
    pub(crate) fn follow(&mut self, fit: Option<PauseFit>, configured: u32) {
        self.capacity.follow(fit, configured);
    }

    /// Writes this instance's measurements into its report.
    pub(crate) fn fill_report(&self, report: &mut TargetReport) {
        let parts = |mean: LearnedMean, unit: f64| {
            ((mean.mean() * unit) as u32, mean.weight().round() as u8)
        };
        (report.step_us, report.step_weight) = parts(self.step_ms, 1e3);
        (report.hold_ms, report.hold_weight) = parts(self.hold_ms, 1.0);
        (report.read_ns, report.read_weight) = parts(self.read_ms, 1e6);
        (report.gap_ms, report.gap_weight) = parts(self.gap_ms, 1.0);
    }
}
