use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use kwg_gate::{SpeedReading, StandingSource};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the histogram buckets for answer times, in seconds.
const SECONDS_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 12.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NameLabel {
    name: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StandingLabel {
    name: String,
    source: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SpeedLabel {
    target: String,
    figure: &'static str,
}

/// Names of the learned figures of a target.
const SPEED_FIGURES: [&str; 6] =
    ["step_ms", "step_weight", "read_us", "pause_ms", "capacity", "load"];

/// The metrics of a gateway.
#[derive(Clone)]
pub(crate) struct GatewayMetrics {
    registry: Arc<Registry>,
    attempts: Family<NameLabel, Counter>,
    refusals: Family<NameLabel, Counter>,
    dropped: Family<NameLabel, Counter>,
    store_calls: Family<NameLabel, Counter>,
    standings: Family<StandingLabel, Counter>,
    doubtful: Gauge,
    evacuated: Gauge,
    target_ends: Family<NameLabel, Counter>,
    refused_contents: Gauge,
    speeds: Family<SpeedLabel, Gauge<f64, AtomicU64>>,
    cold_targets: Gauge,
    cold_sent: Counter,
    cold_passed: Counter,
    connects: Counter,
    answer_seconds: Histogram,
    caller_ends: Family<NameLabel, Counter>,
    callers_open: Gauge,
    callers_bytes: Gauge,
}

impl GatewayMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("kwg_gateway");
        let attempts = Family::default();
        let refusals = Family::default();
        let dropped = Family::default();
        let store_calls = Family::default();
        let standings = Family::default();
        let doubtful = Gauge::default();
        let evacuated = Gauge::default();
        let target_ends = Family::default();
        let refused_contents = Gauge::default();
        let speeds = Family::default();
        let cold_targets = Gauge::default();
        let cold_sent = Counter::default();
        let cold_passed = Counter::default();
        let connects = Counter::default();
        let answer_seconds = Histogram::new(SECONDS_BUCKETS);
        registry.register("attempts", "Attempts at targets, by outcome", attempts.clone());
        registry.register("refusals", "Requests without an answer, by reason", refusals.clone());
        registry.register("dropped", "What was dropped for want of room", dropped.clone());
        registry.register("store_calls", "Calls to the store, by outcome", store_calls.clone());
        let help = "Changes of what targets say of themselves, by state and who said it";
        registry.register("target_standings", help, standings.clone());
        let help =
            "Targets that are said to leave, but that the store has listed as ready for 30 s since";
        registry.register("targets_doubtful", help, doubtful.clone());
        let help = "Failure domains that are evacuated";
        registry.register("evacuated_domains", help, evacuated.clone());
        let help = "Ends of targets under requests, by who has seen them";
        registry.register("target_ends", help, target_ends.clone());
        let help = "Contents, parts of prompts, and groups of them that are refused because targets have ended under them";
        registry.register("refused_contents", help, refused_contents.clone());
        let help = "What is learned of each target's speed";
        registry.register("target_speed", help, speeds.clone());
        let help = "Targets that tolerate only few requests a second after their start";
        registry.register("targets_cold", help, cold_targets.clone());
        registry.register("cold_sent", "Requests sent to cold targets", cold_sent.clone());
        let help = "Placements that passed over a cold target because of its rate";
        registry.register("cold_passed", help, cold_passed.clone());
        registry.register("connects", "New connections to targets", connects.clone());
        let help = "Time from a request's first byte to the end of its attempt";
        registry.register("answer_seconds", help, answer_seconds.clone());
        let caller_ends = Family::default();
        let callers_open = Gauge::default();
        let callers_bytes = Gauge::default();
        let help = "Connections of callers that were refused or closed, by reason";
        registry.register("caller_ends", help, caller_ends.clone());
        registry.register("callers_open", "Open connections of callers", callers_open.clone());
        let help = "Bytes that are held for callers";
        registry.register("callers_bytes", help, callers_bytes.clone());
        let registry = Arc::new(registry);
        Self {
            registry,
            attempts,
            refusals,
            dropped,
            store_calls,
            standings,
            doubtful,
            evacuated,
            target_ends,
            refused_contents,
            speeds,
            cold_targets,
            cold_sent,
            cold_passed,
            connects,
            answer_seconds,
            caller_ends,
            callers_open,
            callers_bytes,
        }
    }

    /// Counts an attempt. `total` is the time from the request's first byte to the end of the
    /// attempt.
    pub(crate) fn record_attempt(&self, outcome: &str, total: Duration) {
        self.attempts.get_or_create(&label(outcome)).inc();
        self.answer_seconds.observe(total.as_secs_f64());
    }

    pub(crate) fn record_refusal(&self, reason: &str) {
        self.refusals.get_or_create(&label(reason)).inc();
    }

    pub(crate) fn record_drop(&self, what: &str) {
        self.dropped.get_or_create(&label(what)).inc();
    }

    pub(crate) fn record_store_call(&self, outcome: &str) {
        self.store_calls.get_or_create(&label(outcome)).inc();
    }

    pub(crate) fn record_standing(&self, state: &str, source: StandingSource) {
        let (name, source) = (state.to_owned(), source.as_str().to_owned());
        self.standings.get_or_create(&StandingLabel { name, source }).inc();
    }

    /// Sets the number of targets that may be wrong about leaving.
    pub(crate) fn set_doubtful(&self, count: usize) {
        self.doubtful.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of evacuated failure domains.
    pub(crate) fn set_evacuated(&self, count: usize) {
        self.evacuated.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts an end of a target under a request, seen by this instance or a peer.
    pub(crate) fn record_target_end(&self, seen_by: &str) {
        self.target_ends.get_or_create(&label(seen_by)).inc();
    }

    /// Sets the number of contents that are refused because targets have ended under them.
    pub(crate) fn set_refused_contents(&self, count: usize) {
        self.refused_contents.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets what is learned of a target's speed.
    pub(crate) fn set_speed(&self, reading: &SpeedReading<'_>) {
        let values = [
            reading.step_ms,
            reading.step_weight,
            reading.read_ms * 1e3,
            reading.gap_ms,
            f64::from(reading.capacity),
            f64::from(reading.load),
        ];
        for (figure, value) in SPEED_FIGURES.into_iter().zip(values) {
            let target = reading.entry.id.to_string();
            self.speeds.get_or_create(&SpeedLabel { target, figure }).set(value);
        }
    }

    /// Removes a target that is gone.
    pub(crate) fn remove_speed(&self, target: &str) {
        for figure in SPEED_FIGURES {
            self.speeds.remove(&SpeedLabel { target: target.to_owned(), figure });
        }
    }

    /// Sets the number of cold targets.
    pub(crate) fn set_cold_targets(&self, count: usize) {
        self.cold_targets.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a request that is sent to a cold target.
    pub(crate) fn record_cold_sent(&self) {
        self.cold_sent.inc();
    }

    /// Counts placements that passed over a cold target.
    pub(crate) fn record_cold_passed(&self, count: u64) {
        self.cold_passed.inc_by(count);
    }

    /// Counts a connection of a caller that was refused or closed.
    pub(crate) fn record_caller_end(&self, reason: &str) {
        self.caller_ends.get_or_create(&label(reason)).inc();
    }

    /// Sets what callers use at present.
    pub(crate) fn set_callers(&self, open: usize, bytes: usize) {
        self.callers_open.set(i64::try_from(open).unwrap_or(i64::MAX));
        self.callers_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub(crate) fn record_connect(&self) {
        self.connects.inc();
    }

    /// Encodes all metrics in the OpenMetrics text format. If encoding fails, logs the error and
    /// returns an empty text.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!("event=metrics-unreadable error=\"{error}\"");
            text.clear();
        }
        text
    }
}

fn label(name: &str) -> NameLabel {
    NameLabel { name: name.to_owned() }
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("GatewayMetrics")
    }
}
