use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of low bits of a stamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A hybrid logical clock: follows the wall clock, unless it has observed or returned a later
/// stamp; then it continues from that stamp.
///
/// Stamps order an effect after its cause even if the wall clocks of two machines differ, provided
/// that the message between them carried a stamp.
///
/// ```
/// use kwg_telemetry::HybridClock;
///
/// let (fast, slow) = (HybridClock::default(), HybridClock::default());
/// let cause = fast.stamp() + (60_000 << 16);
/// slow.observe(cause);
/// assert!(slow.stamp() > cause);
/// ```
#[derive(Debug, Clone, Default)]
pub struct HybridClock(Arc<AtomicU64>);

impl HybridClock {
    /// Returns a stamp for the current time, larger than all stamps returned or observed before.
    #[must_use]
    pub fn stamp(&self) -> u64 {
        let wall = Self::wall_millis() << COUNTER_BITS;
        let next = |last: u64| wall.max(last + 1);
        let last =
            self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| Some(next(last)));
        next(last.unwrap_or_else(|last| last))
    }

    /// Advances the clock to the stamp of a received message.
    pub fn observe(&self, stamp: u64) {
        self.0.fetch_max(stamp, Ordering::AcqRel);
    }

    /// The wall-clock part of a stamp, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn millis_of(stamp: u64) -> u64 {
        stamp >> COUNTER_BITS
    }

    /// The wall clock, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn wall_millis() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(0)
    }
}
