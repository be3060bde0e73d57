use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::info;

use crate::{EventLine, HybridClock};

/// Most lines that wait for the archive; older ones are dropped and counted.
const RING_MAX_LINES: usize = 20_000;

/// Stamps events, logs them, and keeps the newest for the archive, since an instance has no
/// disk and its logs go with it.
#[derive(Debug, Clone)]
pub struct EventRing {
    clock: HybridClock,
    origin: Arc<str>,
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl EventRing {
    /// A ring for the events of one run of one instance.
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

    /// Notes an event.
    pub fn note(&self, line: impl Into<EventLine>) {
        let stamp = self.clock.stamp();
        let text = format!("stamp={stamp} {} {}", self.origin, line.into());
        info!("{text}");
        let mut lines = self.lines();
        if lines.len() >= RING_MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(text);
    }

    /// Takes the lines that have not been archived.
    #[must_use]
    pub fn take(&self) -> Vec<String> {
        self.lines().drain(..).collect()
    }

    /// Puts lines back that could not be archived.
    pub fn put_back(&self, mut taken: Vec<String>) {
        let mut lines = self.lines();
        let room = RING_MAX_LINES.saturating_sub(lines.len());
        let surplus = taken.len().saturating_sub(room);
        for line in taken.drain(surplus..).rev() {
            lines.push_front(line);
        }
    }

    fn lines(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
