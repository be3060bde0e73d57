use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use kwg_model::MonoTime;
use rustix::time::{ClockId, clock_gettime};

use crate::ManualClock;

/// Handle to a clock that reads the time and waits for deadlines.
///
/// ```
/// use std::time::Duration;
/// use kwg_clock::{ClockHandle, ManualClock};
///
/// let manual = ManualClock::new();
/// let clock = ClockHandle::manual(&manual);
/// let start = clock.now();
/// manual.advance(Duration::from_secs(3));
/// assert_eq!(clock.now().since(start), Duration::from_secs(3));
/// ```
#[derive(Debug, Clone)]
pub struct ClockHandle(ClockSource);

#[derive(Debug, Clone)]
enum ClockSource {
    System { start: Duration },
    Manual(Arc<ManualClock>),
}

impl ClockHandle {
    /// Creates a clock that starts at zero and follows the system's boot time clock.
    ///
    /// That clock is monotonic and includes the time the machine is suspended, so that ages and
    /// deadlines stay correct across a suspend.
    #[must_use]
    pub fn system() -> Self {
        Self(ClockSource::System { start: system_time() })
    }

    /// Creates a handle to a clock that a test advances.
    #[must_use]
    pub fn manual(clock: &Arc<ManualClock>) -> Self {
        Self(ClockSource::Manual(Arc::clone(clock)))
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        match &self.0 {
            ClockSource::System { start } => MonoTime::ZERO + system_time().saturating_sub(*start),
            ClockSource::Manual(clock) => clock.now(),
        }
    }

    /// Waits until the clock reads at least `deadline`.
    pub async fn sleep_until(&self, deadline: MonoTime) {
        match &self.0 {
            ClockSource::System { .. } => {
                let span = deadline.since(self.now());
                Timer::after(span).await;
            }
            ClockSource::Manual(clock) => clock.wait_until(deadline).await,
        }
    }

    /// Waits for `span`.
    pub async fn sleep(&self, span: Duration) {
        self.sleep_until(self.now() + span).await;
    }
}

/// Returns the time since boot, including suspended time.
fn system_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
