use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Bits of a stamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A hybrid logical clock: close to the wall clock, and always past what it has seen.
///
/// Stamps order an effect behind its cause even if the clocks of two machines differ, as long
/// as the message between them carried a stamp.
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
    /// A stamp for something that happens now; each is larger than the one before.
    #[must_use]
    pub fn stamp(&self) -> u64 {
        let wall = Self::wall_millis() << COUNTER_BITS;
        let next = |last: u64| wall.max(last + 1);
        let last =
            self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| Some(next(last)));
        next(last.unwrap_or_else(|last| last))
    }

    /// Notes the stamp of a message that has come in.
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
