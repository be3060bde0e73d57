//! Instances that place streams at engines of unequal speed, in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use kwg_gate::{
    AttemptSample, DomainMap, GateDigest, InstanceMap, PlacementDecision, PlacementQuery,
    ServiceName, StreamPromise, TargetEntry, TargetId, TargetKey, TargetRegistry, TargetTracker,
    VersionFilter,
};
use kwg_model::MonoTime;

use super::engine_model::{EngineModel, EngineStream};

const TICK_MS: u64 = 5;
const REPORT_MS: u64 = 200;
/// The promised pause.
const GAP_MS: u64 = 200;
const PACE_WINDOW_MS: f64 = 100.0;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct StreamKind {
    pub rate_per_s: f64,
    pub prompt: f64,
    pub events: f64,
    pub latency_ms: u64,
    pub deadline_ms: u64,
}

/// A request that waits or runs.
#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    prompt: u64,
    output: u32,
    arrived_ms: u64,
    node: usize,
    target: Option<(usize, TargetKey)>,
}

/// Counts for one kind of request or one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StreamTally {
    pub asked: u32,
    pub answered: u32,
    pub late_first: u32,
    pub late_pause: u32,
    pub refused: u32,
    pub on_time: u32,
}

/// A fleet of instances in one failure domain, and the engines of one service.
#[derive(Debug)]
pub struct SpeedFleet {
    pub engines: Vec<EngineModel>,
    pub nodes: Vec<TargetTracker>,
    pub kinds: Vec<StreamKind>,
    /// Time that digests are on their way.
    pub report_delay_ms: u64,
    pub now_ms: u64,
    /// Counts by kind, since the last reset.
    pub by_kind: Vec<StreamTally>,
    /// Counts by engine, since the last reset.
    pub by_engine: Vec<StreamTally>,
    /// Sum of the streams at each engine over the ticks, since the last reset.
    pub load_sums: Vec<f64>,
    pub ticks: u32,
    requests: Vec<Request>,
    waiting: Vec<Vec<usize>>,
    messages: Vec<(u64, usize, String, GateDigest)>,
    /// Generators for arrivals, which are the same whatever is decided, and for decisions.
    seeds: [u64; 2],
}

impl SpeedFleet {
    pub fn new(engines: Vec<EngineModel>, nodes: usize, kinds: &[StreamKind], seed: u64) -> Self {
        let names: Vec<String> = (0..nodes).map(|node| format!("node-{node:03}")).collect();
        let mut registry = TargetRegistry::default();
        let entries = engines.iter().enumerate().map(|(index, engine)| TargetEntry {
            id: TargetId::new(&format!("engine-{index:03}")),
            service: ServiceName::new("llm"),
            address: "127.0.0.1:9".parse().expect("an address"),
            domain: "d".to_owned(),
            version: "v1".to_owned(),
            slots: engine.slots as u32,
            is_draining: false,
            born: 1,
            cold: kwg_gate::ColdNotice::default(),
        });
        registry.replace(1, entries, MonoTime::ZERO);
        let domains: BTreeMap<_, _> = [("d".to_owned(), names.clone())].into();
        let event_tokens = f64::from(engines[0].event_tokens);
        let tracker = |own: &String| {
            let regions = HashMap::from([("d".to_owned(), "r".to_owned())]);
            let mut tracker = TargetTracker::new(DomainMap { own: "d".to_owned(), regions });
            tracker.sync(&registry);
            let gap = Some(Duration::from_millis(GAP_MS));
            let promise = StreamPromise { event_tokens, gap };
            tracker.set_promises([(ServiceName::new("llm"), promise)].into_iter());
            tracker.set_instances(&InstanceMap { own: own.clone(), domains: domains.clone() });
            tracker
        };
        Self {
            nodes: names.iter().map(tracker).collect(),
            by_kind: vec![StreamTally::default(); kinds.len()],
            by_engine: vec![StreamTally::default(); engines.len()],
            load_sums: vec![0.0; engines.len()],
            kinds: kinds.to_vec(),
            engines,
            report_delay_ms: 50,
            now_ms: 0,
            ticks: 0,
            requests: Vec::new(),
            waiting: vec![Vec::new(); nodes],
            messages: Vec::new(),
            seeds: [1, 2].map(|part| (seed * 2 + part).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
        }
    }

    /// A number in [0, 1) for a decision.
    fn draw(&mut self) -> f64 {
        next_draw(&mut self.seeds[1])
    }

    /// A number in [0, 1) for an arrival.
    fn draw_arrival(&mut self) -> f64 {
        next_draw(&mut self.seeds[0])
    }

    pub fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_ms)
    }

    /// Starts the counts again.
    pub fn reset(&mut self) {
        self.by_kind.fill(StreamTally::default());
        self.by_engine.fill(StreamTally::default());
        self.load_sums.fill(0.0);
        self.ticks = 0;
    }

    pub fn mean_load(&self, engine: usize) -> f64 {
        self.load_sums[engine] / f64::from(self.ticks.max(1))
    }

    /// Runs for a time, with `load` times the usual rates.
    pub fn run(&mut self, span_ms: u64, load: f64) {
        let until = self.now_ms + span_ms;
        while self.now_ms < until {
            self.now_ms += TICK_MS;
            self.work();
            self.exchange();
            self.arrive(load);
            for node in 0..self.nodes.len() {
                let mut waiting = std::mem::take(&mut self.waiting[node]);
                waiting.retain(|request| !self.place(*request));
                self.waiting[node] = waiting;
            }
            for (sum, engine) in self.load_sums.iter_mut().zip(&self.engines) {
                *sum += engine.streams.len() as f64;
            }
            self.ticks += 1;
        }
    }

    fn arrive(&mut self, load: f64) {
        for kind in 0..self.kinds.len() {
            let expected = self.kinds[kind].rate_per_s * load * TICK_MS as f64 / 1e3;
            let mut product = self.draw_arrival();
            while product > (-expected).exp() {
                product *= self.draw_arrival();
                let size = (-self.draw_arrival().max(1e-9).ln()).clamp(0.1, 8.0);
                let length = (-self.draw_arrival().max(1e-9).ln()).clamp(0.1, 8.0);
                let StreamKind { prompt, events, .. } = self.kinds[kind];
                let tokens = f64::from(self.engines[0].event_tokens);
                // Two draws make some instances busier than others.
                let node = (self.draw_arrival()
                    * self.draw_arrival().sqrt()
                    * self.nodes.len() as f64) as usize;
                self.requests.push(Request {
                    kind,
                    prompt: (prompt * size) as u64,
                    output: (events * length * tokens) as u32,
                    arrived_ms: self.now_ms,
                    node,
                    target: None,
                });
                self.by_kind[kind].asked += 1;
                let request = self.requests.len() - 1;
                self.waiting[node].push(request);
            }
        }
    }

    /// Places a request if that is possible; returns whether it waits no longer.
    fn place(&mut self, number: usize) -> bool {
        let draw = self.draw();
        let (now, now_ms) = (self.now(), self.now_ms);
        let (request, node) = (self.requests[number], self.requests[number].node);
        let kind = self.kinds[request.kind];
        let mut tried = Vec::new();
        loop {
            let query = PlacementQuery {
                service: "llm",
                prompt_tokens: request.prompt,
                output_tokens: u64::from(request.output),
                tokens_per_event: f64::from(self.engines[0].event_tokens),
                left: Duration::from_millis(
                    (request.arrived_ms + kind.deadline_ms).saturating_sub(now_ms),
                ),
                on_engine: true,
                target_latency: Duration::from_millis(kind.latency_ms),
                gap_target: Some(Duration::from_millis(GAP_MS)),
                is_contended: self.waiting.iter().any(|waiting| !waiting.is_empty()),
                tried: &tried,
                version: VersionFilter::Any,
                is_last_resort: false,
                regions: None,
            };
            let tracker = &self.nodes[node];
            let expected = tracker.best_expected(&query, now).as_millis() as u64;
            let is_due =
                now_ms >= request.arrived_ms + kind.latency_ms.saturating_sub(expected).max(50);
            let decision = match tracker.place(&query, now, draw) {
                PlacementDecision::Full if is_due => {
                    tracker.place(&PlacementQuery { is_last_resort: true, ..query }, now, draw)
                }
                decision => decision,
            };
            let PlacementDecision::Send(placement) = decision else {
                self.by_kind[request.kind].refused += u32::from(is_due);
                return is_due;
            };
            let key = placement.target;
            let id = tracker.entry(key).expect("known").id.to_string();
            let engine: usize = id["engine-".len()..].parse().expect("a number");
            let is_taken =
                self.engines[engine].push(number, request.prompt, request.output, now_ms as f64);
            if is_taken {
                self.nodes[node].begin_attempt(key, request.prompt);
                self.requests[number].target = Some((engine, key));
                return true;
            }
            tried.push(key);
        }
    }

    fn work(&mut self) {
        for engine in 0..self.engines.len() {
            let (read, finished) = self.engines[engine].advance(self.now_ms as f64);
            for number in read {
                let Request { node, target, prompt, .. } = self.requests[number];
                let (_, key) = target.expect("placed");
                self.nodes[node].record_prompt_read(key, prompt);
            }
            self.report_pace(engine);
            finished.into_iter().for_each(|stream| self.finish(engine, &stream));
        }
    }

    /// Records the pace of running streams, each every 100 ms at most.
    fn report_pace(&mut self, engine: usize) {
        let now = self.now();
        for stream in &mut self.engines[engine].streams {
            let count = stream.events_ms.len();
            if count <= stream.reported {
                continue;
            }
            let span_ms = stream.events_ms[count - 1] - stream.events_ms[stream.reported - 1];
            if span_ms >= PACE_WINDOW_MS {
                let Request { node, target, .. } = self.requests[stream.request];
                let (_, key) = target.expect("placed");
                let (events, span) =
                    ((count - stream.reported) as u64, Duration::from_secs_f64(span_ms / 1e3));
                self.nodes[node].record_pace(key, events, span, now);
                stream.reported = count;
            }
        }
    }

    fn finish(&mut self, engine: usize, stream: &EngineStream) {
        let request = self.requests[stream.request];
        let (_, key) = request.target.expect("placed");
        let span = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        let (first, last) = (stream.events_ms[0], *stream.events_ms.last().expect("an event"));
        let events = stream.events_ms.len();
        let gaps = events > 1;
        let tokens = f64::from(self.engines[engine].event_tokens);
        let sample = AttemptSample {
            hold: span(last - stream.begun_ms),
            first_event: Some(span(first - stream.begun_ms)),
            event_gap: gaps.then(|| span((last - first) / (events - 1) as f64)),
            longest_gap: gaps.then(|| span(stream.longest_gap_ms())),
            events: events as u64,
            tokens_per_event: tokens,
        };
        let now = self.now();
        let tracker = &mut self.nodes[request.node];
        tracker.end_attempt(key);
        tracker.record_success(key, &sample, now);
        tracker.record_reading(key, request.prompt, tokens, &sample, now);
        let kind = self.kinds[request.kind];
        let late_first = first - request.arrived_ms as f64 > kind.latency_ms as f64;
        let late_pause = stream.longest_gap_ms() > GAP_MS as f64;
        for tally in [&mut self.by_kind[request.kind], &mut self.by_engine[engine]] {
            tally.answered += 1;
            tally.late_first += u32::from(late_first);
            tally.late_pause += u32::from(late_pause);
            tally.on_time += u32::from(!late_first && !late_pause);
        }
    }

    fn exchange(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let arrived: Vec<_> = self.messages.extract_if(.., |(at, ..)| *at <= now_ms).collect();
        for (_, to, from, digest) in arrived {
            self.nodes[to].apply_digest(&from, &digest, now);
        }
        let count = self.nodes.len();
        let all: usize = self.waiting.iter().map(Vec::len).sum();
        for node in 0..count {
            if now_ms % REPORT_MS != (node as u64 * 30 / TICK_MS * TICK_MS) % REPORT_MS {
                continue;
            }
            let share = match all {
                0 => 0.1 / count as f64,
                _ => self.waiting[node].len() as f64 / all as f64,
            };
            let draw = self.draw();
            let waiting = &self.waiting;
            let has_waiting = |peer: &str, _: &str| {
                let peer: Option<usize> =
                    peer.strip_prefix("node-").and_then(|peer| peer.parse().ok());
                peer.map(|peer| !waiting[peer].is_empty())
            };
            self.nodes[node].claim_slots(|_| share, has_waiting, draw, now);
            let digest = GateDigest { targets: self.nodes[node].reports(), ..Default::default() };
            for to in (0..count).filter(|to| *to != node) {
                let at = now_ms + self.report_delay_ms;
                self.messages.push((at, to, format!("node-{node:03}"), digest.clone()));
            }
        }
    }
}

fn next_draw(seed: &mut u64) -> f64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}
