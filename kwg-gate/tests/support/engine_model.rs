//! A batching engine in virtual time, as the operators describe theirs.

/// Time of a decoding step at speed 1 for one request, in milliseconds.
const STEP_MS: f64 = 3.55;
/// Part of that by which each further request in the batch lengthens the step.
const STEP_GROWTH: f64 = 0.06;
/// Prompt tokens that an engine of speed 1 reads in a millisecond.
const TOKENS_READ_PER_MS: f64 = 157.0;
/// Prompt tokens that are read between two steps at most.
const CHUNK_TOKENS: f64 = 2_048.0;

/// A stream at an engine.
#[derive(Debug, Clone)]
pub struct EngineStream {
    /// Number of the request.
    pub request: usize,
    /// Prompt tokens that have not been read.
    pub unread: f64,
    /// Tokens of the answer.
    pub output: u32,
    /// Tokens that have been made.
    pub made: u32,
    /// When it reached the engine.
    pub begun_ms: f64,
    /// Times of its events.
    pub events_ms: Vec<f64>,
    /// Number of events up to which its pace has been reported.
    pub reported: usize,
}

/// An engine that makes a token of each running stream in each step, and reads prompts between the steps.
#[derive(Debug, Clone)]
pub struct EngineModel {
    pub speed: f64,
    pub slots: usize,
    /// Number of streams beyond which each further one lengthens the steps by half.
    pub knee: usize,
    pub event_tokens: u32,
    pub streams: Vec<EngineStream>,
    now_ms: f64,
}

impl EngineModel {
    pub fn new(speed: f64, slots: usize, event_tokens: u32) -> Self {
        Self { speed, slots, knee: slots, event_tokens, streams: Vec::new(), now_ms: 0.0 }
    }

    /// Takes a stream unless all slots are used.
    pub fn push(&mut self, request: usize, prompt: u64, output: u32, now_ms: f64) -> bool {
        let has_room = self.streams.len() < self.slots;
        if has_room {
            self.streams.push(EngineStream {
                request,
                unread: prompt as f64,
                output: output.max(1),
                made: 0,
                begun_ms: now_ms,
                events_ms: Vec::new(),
                reported: 1,
            });
        }
        has_room
    }

    /// Time of a step at present, without reading, in milliseconds.
    pub fn step_ms(&self) -> f64 {
        let count = self.streams.len().max(1);
        let beyond = count.saturating_sub(self.knee) as f64;
        STEP_MS * (1.0 + STEP_GROWTH * (count - 1) as f64 + 0.5 * beyond) / self.speed
    }

    /// Works until `until_ms`; returns the requests whose prompts have been read, and the finished streams.
    pub fn advance(&mut self, until_ms: f64) -> (Vec<usize>, Vec<EngineStream>) {
        let (mut read, mut finished) = (Vec::new(), Vec::new());
        while self.now_ms < until_ms {
            if self.streams.is_empty() {
                self.now_ms = until_ms;
                break;
            }
            let mut budget = CHUNK_TOKENS;
            let writes = self.streams.iter().any(|stream| stream.unread <= 0.0);
            let mut taken = 0.0;
            for stream in self.streams.iter_mut().filter(|stream| stream.unread > 0.0) {
                let part = stream.unread.min(budget);
                stream.unread -= part;
                (budget, taken) = (budget - part, taken + part);
            }
            let step_ms = if writes { self.step_ms() } else { 0.0 };
            self.now_ms += taken / (TOKENS_READ_PER_MS * self.speed) + step_ms;
            if !writes {
                continue;
            }
            for stream in self.streams.iter_mut().filter(|stream| stream.unread <= 0.0) {
                stream.made += 1;
                if stream.made % self.event_tokens == 0 || stream.made == stream.output {
                    if stream.events_ms.is_empty() {
                        read.push(stream.request);
                    }
                    stream.events_ms.push(self.now_ms);
                }
            }
            finished.extend(self.streams.extract_if(.., |stream| stream.made >= stream.output));
        }
        (read, finished)
    }
}

impl EngineStream {
    /// The longest pause between two events, in milliseconds.
    pub fn longest_gap_ms(&self) -> f64 {
        let pairs = self.events_ms.windows(2);
        pairs.map(|pair| pair[1] - pair[0]).fold(0.0, f64::max)
    }
}
