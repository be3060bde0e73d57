use super::load_curve::LoadCurve;

/// Share of the promised pause that the tokens of an event may take; the rest is left for reading prompts.
const EVENT_SHARE: f64 = 0.75;
/// Part of the slots that is used at any speed, so that a recovery shows.
const PROBE_SHARE: f64 = 0.25;
/// Intervals of 200 ms until one more slot is used again: slower than slots are taken away, so that the number does not
/// swing about the limit.
const RAISE_INTERVALS: u8 = 2;

/// Number of requests up to which the streams of a target keep their promised pause.
///
/// The load pattern: engines that slow down long before all of their slots are taken, and engines that are 4 to 8 times
/// slower for some seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TargetCapacity {
    slots: u32,
    intervals: u8,
}

/// How a target keeps a promised pause.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum PauseFit {
    /// At up to so many requests.
    UpTo(f64),
    /// Not even with a single one.
    Never,
}

impl PauseFit {
    /// The fit of a target with `load` requests, whose token takes `step_ms`.
    pub(crate) fn new(curve: &LoadCurve, load: f64, step_ms: f64, event_ms: f64) -> Self {
        let limit_ms = EVENT_SHARE * event_ms;
        match curve.step_with(step_ms, (1.0 - load).min(0.0)) > limit_ms {
            true => Self::Never,
            false => Self::UpTo(load + (limit_ms - step_ms) / curve.growth_ms(step_ms)),
        }
    }
}

impl TargetCapacity {
    pub(crate) fn new(slots: u32) -> Self {
        Self { slots, intervals: 0 }
    }

    /// Number of slots that may be used.
    pub(crate) fn slots(self) -> u32 {
        self.slots
    }

    /// Moves by one slot towards the `fit` within the `configured` slots; `None` without evidence.
    pub(crate) fn follow(&mut self, fit: Option<PauseFit>, configured: u32) {
        let least = (PROBE_SHARE * f64::from(configured)).ceil().max(1.0);
        let wanted = match fit {
            None => f64::from(configured),
            Some(PauseFit::Never) => least,
            Some(PauseFit::UpTo(count)) => {
                count.clamp(least, f64::from(configured).max(least)).floor()
            }
        };
        let present = f64::from(self.slots);
        self.intervals = if wanted > present { self.intervals + 1 } else { 0 };
        if wanted < present {
            self.slots -= 1;
        } else if self.intervals >= RAISE_INTERVALS {
            (self.slots, self.intervals) = (self.slots + 1, 0);
        }
        self.slots = self.slots.min(configured);
    }
}
