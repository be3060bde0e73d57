use std::collections::HashMap;

use kwg_gate::{SpeedReading, TargetId, TargetTracker};
use kwg_model::MonoTime;
use kwg_telemetry::EventLine;

use crate::gateway_metrics::GatewayMetrics;

/// Number of digest intervals between two updates of the metrics and two log lines: a second, so that the log grows by a
/// line a second however many targets there are.
const REPORT_INTERVALS: u32 = 5;

/// Logs and exports what is learned of the targets' speed, at a bounded rate.
#[derive(Debug, Default)]
pub(super) struct SpeedLog {
    intervals: u32,
    /// Number of targets that have been logged.
    logged: usize,
    /// The capacities that have been exported.
    capacities: HashMap<TargetId, u32>,
}

impl SpeedLog {
    /// Records an interval: once a second all targets in the metrics, and one of them in the log. That is one whose
    /// capacity has changed, or the next one in turn.
    pub(super) fn record(
        &mut self,
        targets: &TargetTracker,
        metrics: &GatewayMetrics,
        now: MonoTime,
    ) {
        self.intervals += 1;
        if self.intervals < REPORT_INTERVALS {
            return;
        }
        self.intervals = 0;
        let readings: Vec<SpeedReading<'_>> = targets.speeds(now).collect();
        let is_changed = |reading: &&SpeedReading<'_>| {
            let before = self.capacities.get(&reading.entry.id);
            *before.unwrap_or(&reading.entry.slots) != reading.capacity
        };
        let in_turn = || readings.get(self.logged % readings.len().max(1));
        if let Some(reading) = readings.iter().find(is_changed).or_else(in_turn) {
            log::info!("{}", line(reading));
            self.logged = self.logged.wrapping_add(1);
        }
        let known: HashMap<TargetId, u32> =
            readings.iter().map(|reading| (reading.entry.id.clone(), reading.capacity)).collect();
        for gone in self.capacities.keys().filter(|id| !known.contains_key(*id)) {
            metrics.remove_speed(gone.as_str());
        }
        readings.iter().for_each(|reading| metrics.set_speed(reading));
        self.capacities = known;
    }
}

fn line(reading: &SpeedReading<'_>) -> EventLine {
    let number = |value: f64| format!("{value:.4}");
    EventLine::new("target-speed")
        .field("target", &reading.entry.id)
        .field("step_ms", number(reading.step_ms))
        .field("step_weight", format!("{:.1}", reading.step_weight))
        .field("growth_ms", number(reading.growth_ms))
        .field("read_ms", number(reading.read_ms))
        .field("read_weight", format!("{:.1}", reading.read_weight))
        .field("hold_ms", format!("{:.0}", reading.hold_ms))
        .field("gap_ms", format!("{:.0}", reading.gap_ms))
        .field("capacity", reading.capacity)
        .field("slots", reading.entry.slots)
        .field("load", reading.load)
        .field("age_ms", reading.age.as_millis())
}
