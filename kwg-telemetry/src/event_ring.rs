use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::info;

use crate::{EventLine, HybridClock};

/// Capacity of the ring, in lines. At the limit the oldest lines are dropped.
const MAX_LINES: usize = 20_000;

/// Stamps and logs events, and keeps the newest ones for the archive.
///
/// Events are also archived outside the instance: it has no disk, so its log may be lost with its
/// machine.
#[derive(Debug, Clone)]
pub struct EventRing {
    clock: HybridClock,
    origin: Arc<str>,
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl EventRing {
    /// Creates a ring for the events of one run of an instance.
    #[must_use]
    pub fn new(clock: HybridClock, instance: &str, incarnation: u64) -> Self {
        let origin = format!("instance={instance} run={incarnation:016x}");
        Self { clock, origin: origin.into(), lines: Arc::default() }
    }

    /// The clock that stamps the events.
    #[must_use]
    pub fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Stamps, logs and stores an event.
    pub fn record(&self, line: impl Into<EventLine>) {
        let stamp = self.clock.stamp();
        let text = format!("stamp={stamp} {} {}", self.origin, line.into());
        info!("{text}");
        let mut lines = self.lines();
        if lines.len() >= MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(text);
    }

    /// Removes and returns the stored lines, for archiving.
    #[must_use]
    pub fn drain(&self) -> Vec<String> {
        self.lines().drain(..).collect()
    }

    /// Stores lines again whose archiving failed. If the ring lacks capacity, the oldest are
    /// dropped.
    pub fn restore(&self, mut drained: Vec<String>) {
        let mut lines = self.lines();
        let capacity = MAX_LINES.saturating_sub(lines.len());
        let surplus = drained.len().saturating_sub(capacity);
        for line in drained.drain(surplus..).rev() {
            lines.push_front(line);
        }
    }

    fn lines(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
