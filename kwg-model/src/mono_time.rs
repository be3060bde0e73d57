use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A reading of the process's monotonic clock, in microseconds since the process started.
///
/// Readings of different processes are not comparable.
///
/// ```
/// use std::time::Duration;
/// use kwg_model::MonoTime;
///
/// let start = MonoTime::from_millis(5);
/// let later = start + Duration::from_millis(2);
/// assert_eq!(later.since(start), Duration::from_millis(2));
/// assert_eq!(start.since(later), Duration::ZERO);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// Creates a reading from microseconds since the start of the process.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a reading from milliseconds since the start of the process.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start of the process.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the start of the process.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
