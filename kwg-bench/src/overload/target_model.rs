use std::collections::VecDeque;

/// Time of a decoding step at speed 1, in milliseconds.
const STEP_MS: f64 = 2.9;
/// Prompt tokens that an engine of speed 1 reads in a millisecond.
const TOKENS_READ_PER_MS: f64 = 85.2;
/// Share of an engine's time that reading prompts takes while other requests generate.
const READING_SHARE: f64 = 0.6;
/// Requests that a target queues for each of its slots; it declines further ones.
const QUEUE_PER_SLOT: usize = 6;

/// Work of one request at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TargetJob {
    /// Number of the attempt.
    pub(crate) attempt: usize,
    /// Prompt tokens that have not been read.
    pub(crate) unread: f64,
    /// Tokens of the answer that have not been generated.
    pub(crate) unwritten: f64,
    /// Value of `unwritten` at which the first event is complete.
    pub(crate) first_event_at: f64,
    /// Work of a plain call that is left, in milliseconds.
    pub(crate) work_ms: f64,
    /// Whether the first event has been sent.
    pub(crate) has_begun: bool,
}

/// What happened to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetEvent {
    /// Its first event was sent.
    Begun(usize),
    /// Its answer is complete.
    Finished(usize),
}

/// An engine that batches the requests in its slots, or a plain service, both first come, first
/// served.
#[derive(Debug, Clone)]
pub(crate) struct TargetModel {
    slots: usize,
    speed: f64,
    running: Vec<TargetJob>,
    queued: VecDeque<TargetJob>,
}

impl TargetModel {
    pub(crate) fn new(slots: u32, speed: f64) -> Self {
        let slots = slots as usize;
        Self { slots, speed, running: Vec::new(), queued: VecDeque::new() }
    }

    /// Number of slots in use.
    pub(crate) fn in_use(&self) -> usize {
        self.running.len()
    }

    /// Accepts a request unless the queue is full.
    pub(crate) fn push(&mut self, job: TargetJob) -> bool {
        let is_full = self.queued.len() >= QUEUE_PER_SLOT * self.slots;
        if !is_full {
            self.queued.push_back(job);
        }
        !is_full
    }

    /// Ends the work on an attempt whose caller has left.
    pub(crate) fn remove(&mut self, attempt: usize) {
        self.running.retain(|job| job.attempt != attempt);
        self.queued.retain(|job| job.attempt != attempt);
    }

    /// Works for `span_ms`.
    pub(crate) fn advance(&mut self, span_ms: f64) -> Vec<TargetEvent> {
        while self.running.len() < self.slots
            && let Some(job) = self.queued.pop_front()
        {
            self.running.push(job);
        }
        let span_ms = span_ms * self.speed;
        let generates = self.running.iter().any(|job| job.unread <= 0.0 && job.unwritten > 0.0);
        let reads = self.running.iter().any(|job| job.unread > 0.0);
        let reading_ms = match (reads, generates) {
            (false, _) => 0.0,
            (true, true) => span_ms * READING_SHARE,
            (true, false) => span_ms,
        };
        let (mut budget, written) =
            (reading_ms * TOKENS_READ_PER_MS, (span_ms - reading_ms) / STEP_MS);
        let mut events = Vec::new();
        for job in &mut self.running {
            job.work_ms -= span_ms;
            if job.unread > 0.0 {
                let read = job.unread.min(budget);
                job.unread -= read;
                budget -= read;
            } else {
                job.unwritten -= written;
            }
            let has_event = job.unwritten <= job.first_event_at;
            if job.unread <= 0.0 && job.work_ms <= 0.0 && has_event && !job.has_begun {
                job.has_begun = true;
                events.push(TargetEvent::Begun(job.attempt));
            }
        }
        let is_done = |job: &TargetJob| job.has_begun && job.unwritten <= 0.0;
        events.extend(
            self.running
                .iter()
                .filter(|job| is_done(job))
                .map(|job| TargetEvent::Finished(job.attempt)),
        );
        self.running.retain(|job| !is_done(job));
        events
    }
}
