use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::EngineOptions;
use super::prefix_cache::PrefixCache;
use super::stream_handle::StreamHandle;

/// Bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;

/// State of an engine, independent of its sockets.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    /// The loaded versions.
    pub(super) versions: BTreeSet<String>,
    /// The version whose requests fail, and the percentage of them that do.
    pub(super) failing_version: (String, u32),
    /// The highest fencing number among the accepted orders.
    pub(super) fence: u64,
    /// Streams by ticket key.
    pub(super) streams: BTreeMap<String, StreamHandle>,
    /// How often each ticket was dispatched to this engine.
    pub(super) dispatches: BTreeMap<String, u32>,
    /// Factor on the duration of a step.
    pub(super) slowdown: u32,
    cache: PrefixCache,
    /// Load reports with their times, oldest first.
    reports: VecDeque<(Instant, LoadReport)>,
}

/// Load of an engine at some time, as it reports it.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct LoadReport {
    pub(super) running: usize,
    pub(super) versions: BTreeSet<String>,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        Self {
            versions: BTreeSet::from([options.version.clone()]),
            failing_version: (String::new(), 0),
            fence: 0,
            streams: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            slowdown: 1,
            cache: PrefixCache::new(options.cache_prefixes),
            reports: VecDeque::new(),
            options,
        }
    }

    /// Starts a stream, and returns it with the number of prompt tokens found in the cache.
    pub(super) fn start(&mut self, id: &str, body: Vec<u8>, tokens: u32) -> (StreamHandle, usize) {
        *self.dispatches.entry(id.to_owned()).or_default() += 1;
        let cached = self.cache.touch(&body);
        let prefill = (body.len() - cached) / BYTES_PER_TOKEN;
        let seconds = prefill as f64 / self.options.prefill_per_second as f64;
        let prefill_ends_at = Instant::now() + Duration::from_secs_f64(seconds);
        let handle = StreamHandle::new(body, tokens, prefill_ends_at);
        self.streams.insert(id.to_owned(), handle.clone());
        (handle, cached / BYTES_PER_TOKEN)
    }

    /// Decodes one token of every running stream, and returns the duration of the step.
    pub(super) fn step(&mut self) -> Duration {
        let now = Instant::now();
        let retention = self.options.stream_retention;
        self.streams.retain(|_, handle| {
            let state = handle.lock();
            let is_old = state.ended_at.is_some_and(|ended| now.duration_since(ended) > retention);
            !is_old && !state.is_cancelled
        });
        let mut running = 0;
        for handle in self.streams.values() {
            let mut state = handle.lock();
            if state.is_running() {
                running += 1;
                state.step(now);
            }
        }
        let report = LoadReport { running: running as usize, versions: self.versions.clone() };
        self.reports.push_back((now, report));
        while self.reports.len() > 1
            && now.duration_since(self.reports[1].0) >= self.options.report_lag
        {
            self.reports.pop_front();
        }
        let step = self.options.step + self.options.step_per_stream * running;
        step * self.slowdown
    }

    /// The load as it was `report_lag` ago.
    pub(super) fn report(&self) -> LoadReport {
        self.reports.front().map(|(_, report)| report.clone()).unwrap_or_default()
    }

    /// How many tickets were dispatched more than once.
    pub(super) fn dispatched_twice(&self) -> usize {
        self.dispatches.values().filter(|count| **count > 1).count()
    }
}
