use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::LoadPermit;

/// Work that this core has in flight at one target, in tokens and streams.
///
/// ```
/// let gauge = kwg_decide::LoadGauge::default();
/// let permit = gauge.acquire(40);
/// assert_eq!(gauge.tokens(), 40);
/// drop(permit);
/// assert_eq!(gauge.tokens(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct LoadGauge(Arc<LoadCounts>);

#[derive(Debug, Default)]
struct LoadCounts {
    tokens: AtomicU64,
    streams: AtomicU64,
}

impl LoadGauge {
    /// Counts work as in flight until the permit is dropped.
    #[must_use]
    pub fn acquire(&self, tokens: u64) -> LoadPermit {
        self.0.tokens.fetch_add(tokens, Ordering::Relaxed);
        self.0.streams.fetch_add(1, Ordering::Relaxed);
        LoadPermit::new(self.clone(), tokens)
    }

    /// Returns the work in flight, in tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.0.tokens.load(Ordering::Relaxed)
    }

    /// Returns the number of streams in flight.
    #[must_use]
    pub fn streams(&self) -> u64 {
        self.0.streams.load(Ordering::Relaxed)
    }

    pub(super) fn release(&self, tokens: u64) {
        self.0.tokens.fetch_sub(tokens, Ordering::Relaxed);
        self.0.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
