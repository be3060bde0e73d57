use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use kwg_flow::{ControlEvent, EventKind, FlowEvent};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of the histogram buckets for latencies, in seconds.
const SECONDS_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5.0, 10.0, 60.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    tier: String,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TierLabels {
    tier: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TargetLabels {
    target: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// Gauges of one traffic core of a router.
#[derive(Debug, Clone, Default)]
pub struct RouterGauges {
    /// Requests that wait for target capacity.
    pub queued: Gauge,
    /// Answers in progress.
    pub running: Gauge,
    /// Stored records of tickets and answers.
    pub records: Gauge,
}

/// The metrics of a router.
///
/// ```
/// let metrics = kwg_telemetry::RouterMetrics::new();
/// assert!(metrics.render().contains("kwg_queued_requests"));
/// ```
#[derive(Clone)]
pub struct RouterMetrics {
    registry: Arc<Registry>,
    requests: Family<OutcomeLabels, Counter>,
    first_byte: Family<TierLabels, Histogram, fn() -> Histogram>,
    answer: Family<TierLabels, Histogram, fn() -> Histogram>,
    dispatches: Family<TargetLabels, Counter>,
    cuts: Family<TargetLabels, Counter>,
    joins: Counter,
    recovered: Counter,
    rejected: Family<ReasonLabels, Counter>,
    peer_faults: Family<ReasonLabels, Counter>,
    platform_outages: Counter,
    revision: Gauge<u64, AtomicU64>,
    gauges: Vec<RouterGauges>,
}

impl fmt::Debug for RouterMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MetricsBook").finish_non_exhaustive()
    }
}

impl Default for RouterMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl RouterMetrics {
    /// Creates the metrics of a router with one traffic core.
    #[must_use]
    pub fn new() -> Self {
        Self::with_shards(1)
    }

    /// Creates the metrics of a router with `shards` traffic cores.
    #[must_use]
    pub fn with_shards(shards: u16) -> Self {
        let seconds: fn() -> Histogram = || Histogram::new(SECONDS_BUCKETS);
        let mut metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            first_byte: Family::new_with_constructor(seconds),
            answer: Family::new_with_constructor(seconds),
            dispatches: Family::default(),
            cuts: Family::default(),
            joins: Counter::default(),
            recovered: Counter::default(),
            rejected: Family::default(),
            peer_faults: Family::default(),
            platform_outages: Counter::default(),
            revision: Gauge::default(),
            gauges: (0..shards).map(|_| RouterGauges::default()).collect(),
        };
        metrics.registry = Arc::new(metrics.register());
        metrics
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("kwg");
        registry.register("requests", "Requests ended, by tier and outcome", self.requests.clone());
        let (first, answer) = (self.first_byte.clone(), self.answer.clone());
        registry.register_with_unit(
            "first_byte",
            "From arrival to first byte",
            Unit::Seconds,
            first,
        );
        registry.register_with_unit("answer", "From arrival to end", Unit::Seconds, answer);
        registry.register("dispatches", "Requests sent to a target", self.dispatches.clone());
        registry.register("cuts", "Streams of a target that broke off", self.cuts.clone());
        registry.register(
            "joins",
            "Resends that joined another router's answer",
            self.joins.clone(),
        );
        registry.register(
            "recovered",
            "Answers joined or resumed to their end",
            self.recovered.clone(),
        );
        registry.register("rejected", "Submissions not accepted, by reason", self.rejected.clone());
        registry.register(
            "peer_faults",
            "Faults of peer links, by reason",
            self.peer_faults.clone(),
        );
        let outages = self.platform_outages.clone();
        registry.register("platform_outages", "Times the platform stopped answering", outages);
        registry.register(
            "tables_revision",
            "Revision of the tables in force",
            self.revision.clone(),
        );
        for (shard, gauges) in self.gauges.iter().enumerate() {
            let labels = [("shard".into(), shard.to_string().into())].into_iter();
            let shard = registry.sub_registry_with_labels(labels);
            shard.register("queued_requests", "Requests waiting for room", gauges.queued.clone());
            shard.register("running_answers", "Answers not ended", gauges.running.clone());
            shard.register("records", "Records of tickets and answers", gauges.records.clone());
        }
        registry
    }

    /// Returns the gauges of one traffic core. For an unknown core they are new ones that are not
    /// exported.
    #[must_use]
    pub fn gauges(&self, shard: u16) -> RouterGauges {
        self.gauges.get(usize::from(shard)).cloned().unwrap_or_default()
    }

    /// Counts an event of a request or its answer.
    pub fn record_flow(&self, event: &FlowEvent) {
        match &event.kind {
            EventKind::Dispatched { target, .. } => {
                let labels = TargetLabels { target: target.to_string() };
                self.dispatches.get_or_create(&labels).inc();
            }
            EventKind::Cut { target } => {
                let labels = TargetLabels { target: target.to_string() };
                self.cuts.get_or_create(&labels).inc();
            }
            EventKind::Joined { .. } => {
                self.joins.inc();
            }
            EventKind::Recovered { .. } => {
                self.recovered.inc();
            }
            EventKind::Answered { tier, total, first_byte, .. } => {
                let labels = TierLabels { tier: (*tier).into() };
                self.answer.get_or_create(&labels).observe(total.as_secs_f64());
                if let Some(first_byte) = first_byte {
                    self.first_byte.get_or_create(&labels).observe(first_byte.as_secs_f64());
                }
                self.count_request(tier.to_string(), "answered", "");
            }
            EventKind::Failed { outcome, tier } => {
                let tier = tier.map_or_else(String::new, |tier| tier.to_string());
                self.count_request(tier, outcome.as_str(), outcome.reason());
            }
            _ => {}
        }
    }

    /// Updates the metrics with an event of the control core.
    pub fn record_control(&self, event: &ControlEvent) {
        match event {
            ControlEvent::TablesInForce { revision, .. } => {
                self.revision.set(*revision);
            }
            ControlEvent::PlatformDown { .. } => {
                self.platform_outages.inc();
            }
            _ => {}
        }
    }

    /// Counts a submission that was rejected.
    pub fn record_rejected(&self, reason: &'static str) {
        self.rejected.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a fault on a peer link.
    pub fn record_peer_fault(&self, reason: &'static str) {
        self.peer_faults.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Encodes all metrics in the OpenMetrics text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string is infallible");
        text
    }

    fn count_request(&self, tier: String, outcome: &'static str, reason: &'static str) {
        self.requests.get_or_create(&OutcomeLabels { tier, outcome, reason }).inc();
    }
}
