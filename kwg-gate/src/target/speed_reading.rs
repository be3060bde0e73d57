use std::time::Duration;

use kwg_model::MonoTime;

use super::target_state::TargetState;
use crate::TargetEntry;

/// What is learned of the speed of a target, for logs, metrics and tests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedReading<'a> {
    /// The target.
    pub entry: &'a TargetEntry,
    /// Time of a token, in milliseconds.
    pub step_ms: f64,
    /// Number of samples in `step_ms`, faded.
    pub step_weight: f64,
    /// By how much one more request lengthens the time of a token, in milliseconds.
    pub growth_ms: f64,
    /// Time in which a prompt token is read, in milliseconds.
    pub read_ms: f64,
    /// Number of samples in `read_ms`, faded.
    pub read_weight: f64,
    /// Duration of an attempt, in milliseconds.
    pub hold_ms: f64,
    /// Mean of the longest pause of each stream, in milliseconds.
    pub gap_ms: f64,
    /// Number of requests up to which its streams keep their pauses.
    pub capacity: u32,
    /// Number of requests that run there.
    pub load: u32,
    /// Age of the oldest report in these figures.
    pub age: Duration,
}

impl<'a> SpeedReading<'a> {
    pub(crate) fn new(state: &'a TargetState, now: MonoTime) -> Self {
        let figures = state.speed.figures();
        Self {
            entry: &state.entry,
            step_ms: figures.step_ms,
            step_weight: figures.step_weight,
            growth_ms: state.speed.growth_ms(),
            read_ms: figures.read_ms,
            read_weight: figures.read_weight,
            hold_ms: figures.hold_ms,
            gap_ms: figures.gap_ms,
            capacity: state.speed.capacity(),
            load: state.load(),
            age: state.load_age(now),
        }
    }
}
