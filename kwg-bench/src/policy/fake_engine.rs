use std::time::Duration;

use kwg_model::MonoTime;

/// Highest decoding speed of one stream, in tokens per second.
const STREAM_SPEED: f64 = 40.0;
/// Prefill speed of an engine, in prompt tokens per second.
const PREFILL_SPEED: f64 = 8_000.0;
/// Age of an engine's load reports.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(500);

/// A simulated engine with continuous batching: streams share its decoding speed, and prefill
/// precedes decoding.
#[derive(Debug)]
pub(super) struct FakeEngine {
    /// Decoding speed over all streams, in tokens per second.
    speed: f64,
    pub(super) is_dead: bool,
    streams: Vec<FakeStream>,
    /// Answer tokens left over all streams, after each step; read by `reported` with a lag.
    reports: Vec<(MonoTime, f64)>,
}

/// A stream with its remaining work, in tokens.
#[derive(Debug)]
struct FakeStream {
    id: usize,
    prompt_left: f64,
    answer_left: f64,
    has_begun: bool,
}

/// Progress of the stream with this id in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamEvent {
    FirstToken(usize),
    End(usize),
}

impl FakeEngine {
    pub(super) fn new(speed: f64) -> Self {
        Self { speed, is_dead: false, streams: Vec::new(), reports: vec![(MonoTime::ZERO, 0.0)] }
    }

    pub(super) fn start(&mut self, id: usize, prompt: u32, answer: u32) {
        self.streams.push(FakeStream {
            id,
            prompt_left: f64::from(prompt),
            answer_left: f64::from(answer),
            has_begun: false,
        });
    }

    /// Advances the engine by `span`, which ends at `now`, and returns the progress of the streams.
    pub(super) fn step(&mut self, now: MonoTime, span: Duration) -> Vec<StreamEvent> {
        let seconds = span.as_secs_f64();
        let mut prefill = PREFILL_SPEED * seconds;
        let decoding = self.streams.iter().filter(|stream| stream.prompt_left <= 0.0).count();
        let each = STREAM_SPEED.min(self.speed / decoding.max(1) as f64) * seconds;
        let mut events = Vec::new();
        for stream in &mut self.streams {
            if stream.prompt_left > 0.0 {
                let done = prefill.min(stream.prompt_left);
                stream.prompt_left -= done;
                prefill -= done;
                continue;
            }
            if !stream.has_begun {
                stream.has_begun = true;
                events.push(StreamEvent::FirstToken(stream.id));
            }
            stream.answer_left -= each;
            if stream.answer_left <= 0.0 {
                events.push(StreamEvent::End(stream.id));
            }
        }
        self.streams.retain(|stream| stream.answer_left > 0.0);
        let load = self.streams.iter().map(|stream| stream.answer_left).sum();
        self.reports.push((now, load));
        self.reports.drain(..self.report_index(now));
        events
    }

    /// Load in the latest visible report, in tokens.
    pub(super) fn reported(&self, now: MonoTime) -> f64 {
        self.reports[self.report_index(now)].1
    }

    /// Index of the newest report that is at least `REPORT_LAG` old, or of the oldest.
    fn report_index(&self, now: MonoTime) -> usize {
        let visible = self.reports.iter().rposition(|(at, _)| now.since(*at) >= REPORT_LAG);
        visible.unwrap_or(0)
    }
}
