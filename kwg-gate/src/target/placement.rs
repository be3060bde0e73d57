use std::time::Duration;

use kwg_model::MonoTime;

use super::pause_risk::PauseRisk;
use super::target_state::TargetState;
use crate::{CostTerms, DomainDistance, DomainMap, TargetKey};

/// Time to the first token besides reading the prompt, in milliseconds.
pub(crate) const FIRST_TOKEN_MS: f64 = 8.0;
/// Cost of crossing into another failure domain of the region, in units of the value of one answer:
/// about the traffic price of a medium request.
const CROSS_DOMAIN_COST: f64 = 0.01;
/// Cost of crossing into another region, in the same unit.
const CROSS_REGION_COST: f64 = 0.04;
/// Cost of a new connection, in the same unit.
const CONNECT_COST: f64 = 0.03;
/// Cost of a slot that another instance owns and may want at the same time: about the cost of
/// crossing regions.
const BORROW_COST: f64 = 0.03;
/// Cost of an answer that is expected to end at its deadline: all of its value. For a later end it
/// is multiplied by the overrun, the ratio of the expected time to the time left.
const OVERRUN_COST: f64 = 1.0;
/// Upper bound of the overrun in the cost.
const MAX_OVERRUN: f64 = 4.0;
/// Cost of a full batch, which generates tokens more slowly; proportional to the share of slots in
/// use.
const BATCH_COST: f64 = 0.08;
/// Cost of a certain failure: the answer, and a part of the capacity that its retry takes from
/// other requests.
const FAILURE_COST: f64 = 2.0;
/// Cost of a stream that is late by a pause: the part of an answer's value that is lost if it is late.
const LATE_COST: f64 = 0.7;
/// Upper bound of the ratio of the expected time to the target latency in the cost.
const MAX_LATENCY_RATIO: f64 = 8.0;

/// Requirements of a request that needs a target.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The requested service.
    pub service: &'a str,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum tokens of the answer.
    pub output_tokens: u64,
    /// Tokens in one event of the answer's stream; the first event comes after so many.
    pub tokens_per_event: f64,
    /// Time until the final answer is due.
    pub left: Duration,
    /// Whether the targets are batching engines.
    pub on_engine: bool,
    /// Target time to the first event of a stream, or to the complete answer.
    pub target_latency: Duration,
    /// Maximum pause between events for a stream to be on time.
    pub gap_target: Option<Duration>,
    /// Whether other requests for the service wait for capacity, at this or another instance.
    pub is_contended: bool,
    /// Targets of earlier attempts, which are excluded.
    pub tried: &'a [TargetKey],
    /// Which versions may serve the request.
    pub version: VersionFilter<'a>,
    /// Regions in which the request may run; none without a bound.
    pub regions: Option<&'a [String]>,
    /// Whether the request is refused if no target takes it now, so that it goes to any target with a slot.
    pub is_last_resort: bool,
}

/// Which versions may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Any version.
    Any,
    /// Only this version.
    Only(&'a str),
    /// Only some of the targets of this version, at least one, so that they are loaded as if the version
    /// served alone.
    Part {
        /// The version.
        version: &'a str,
        /// The number of its targets.
        targets: u32,
    },
    /// All versions but this one.
    Except(&'a str),
    /// All versions but this one and some others.
    ExceptAll {
        /// The version.
        version: &'a str,
        /// The others.
        others: &'a [String],
    },
}

/// The target chosen for a request, and the inputs of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The chosen target.
    pub target: TargetKey,
    /// Expected time until the first event of a stream, or until the answer.
    pub expected: Duration,
    /// Number of requests that are assumed to run there.
    pub load: u32,
    /// Age of the oldest report on which `load` is based.
    pub load_age: Duration,
    /// Number of ends of the target that were known when it was chosen.
    pub known_ends: u8,
    /// When it was chosen.
    pub chosen: MonoTime,
}

/// Result of the choice of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementDecision {
    /// Send the request to this target.
    Send(Placement),
    /// No suitable target has a free slot that this instance may take.
    Full,
    /// No untried target may serve the request.
    NoTarget,
}

impl PlacementQuery<'_> {
    /// The same request, which may wait no longer.
    pub(crate) fn at_last(&self) -> Self {
        Self { is_last_resort: true, ..*self }
    }
}

impl VersionFilter<'_> {
    /// Whether targets of this version may serve the request.
    #[must_use]
    pub fn admits(self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) | Self::Part { version: only, .. } => version == only,
            Self::Except(except) => version != except,
            Self::ExceptAll { version: except, others } => {
                version != except && others.iter().all(|other| version != other)
            }
        }
    }
}

/// Expected time until the first event, or until the answer, at a target with a free slot, in
/// milliseconds.
pub(crate) fn work_ms(
    state: &TargetState,
    query: &PlacementQuery<'_>,
    distance: DomainDistance,
) -> f64 {
    let work_ms = match query.on_engine {
        true => {
            let tokens = query.prompt_tokens + state.waiting_tokens();
            let read_ms = tokens as f64 * state.read_ms_per_token();
            FIRST_TOKEN_MS + read_ms + query.tokens_per_event * state.ms_per_token()
        }
        false => state.hold_ms() + state.queue_ms(),
    };
    distance.round_trip().as_secs_f64() * 1e3 + work_ms
}

/// Expected time until the end of the answer at a target with a free slot, in milliseconds.
pub(crate) fn answer_ms(
    state: &TargetState,
    query: &PlacementQuery<'_>,
    distance: DomainDistance,
) -> f64 {
    work_ms(state, query, distance) + query.output_tokens as f64 * state.ms_per_token()
}

/// The cost of sending a request to a target, in units of the value of one answer (it may exceed
/// 1), by terms, and the expected time of [`work_ms`].
pub(crate) fn cost(
    state: &TargetState,
    query: &PlacementQuery<'_>,
    risk: PauseRisk,
    domains: &DomainMap,
    now: MonoTime,
) -> (CostTerms, f64) {
    let distance = domains.distance(&state.entry.domain);
    let expected = work_ms(state, query, distance);
    let target_ms = query.target_latency.as_secs_f64() * 1e3;
    let latency_ratio = (expected / target_ms.max(1.0)).min(MAX_LATENCY_RATIO);
    let end = expected + query.output_tokens as f64 * state.ms_per_token();
    let overrun = (end / (query.left.as_secs_f64() * 1e3).max(1.0)).min(MAX_OVERRUN);
    let terms = CostTerms {
        latency: latency_ratio * latency_ratio,
        overrun: if overrun > 1.0 { OVERRUN_COST * overrun } else { 0.0 },
        pause: LATE_COST * risk.late_streams(),
        crossing: match distance {
            DomainDistance::SameDomain => 0.0,
            DomainDistance::SameRegion => CROSS_DOMAIN_COST,
            DomainDistance::OtherRegion => CROSS_REGION_COST,
        },
        connecting: if state.idle_connections == 0 { CONNECT_COST } else { 0.0 },
        borrowing: if state.has_idle_owned_slot() { 0.0 } else { BORROW_COST },
        batch: BATCH_COST * f64::from(state.load()) / f64::from(state.entry.slots.max(1)),
        failure: FAILURE_COST * state.health.failure_share(now),
    };
    (terms, expected)
}
