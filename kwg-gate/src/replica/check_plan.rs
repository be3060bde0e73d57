use std::time::Duration;

use kwg_model::MonoTime;

/// Times after its reason at which a table is checked.
const FIRST_CHECKS: [Duration; 3] =
    [Duration::from_millis(700), Duration::from_millis(2_000), Duration::from_millis(5_000)];
/// Interval of the checks after these. A change must be known 6 s after the end of a disturbance of the store.
const LATER_INTERVAL: Duration = Duration::from_secs(5);

/// When a table is read again to check what is known of it. The store's reads may be stale for seconds, at a
/// start as well as after a dropped history, and a feed that broke off may have lacked changes. The checks
/// end with the first one that is proved to be later than their reason.
///
/// ```
/// use std::time::Duration;
///
/// use kwg_gate::CheckPlan;
/// use kwg_model::MonoTime;
///
/// let start = MonoTime::from_millis(1);
/// let plan = CheckPlan::new(20, start);
/// assert!(!plan.is_due(start) && plan.is_due(start + Duration::from_secs(1)));
/// let now = start + Duration::from_secs(1);
/// assert!(plan.record(30, now).is_none(), "proved");
/// let plan = plan.record(12, now).expect("not proved");
/// assert!(!plan.is_due(now));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct CheckPlan {
    since: MonoTime,
    due: MonoTime,
    floor: u64,
}

impl CheckPlan {
    /// A plan whose checks end once a reading is proved to show all changes up to the revision `floor`.
    #[must_use]
    pub fn new(floor: u64, now: MonoTime) -> Self {
        Self { since: now, due: now + FIRST_CHECKS[0], floor }
    }

    /// Whether the next check is due.
    #[must_use]
    pub fn is_due(&self, now: MonoTime) -> bool {
        self.due <= now
    }

    /// The time until the next check.
    #[must_use]
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.due.since(now)
    }

    /// The revision up to which a reading has to show all changes.
    #[must_use]
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Records that a check has shown all changes up to the revision `proved`; returns the plan of the next
    /// check, unless this was the last one.
    #[must_use]
    pub fn record(self, proved: u64, now: MonoTime) -> Option<Self> {
        if proved >= self.floor {
            return None;
        }
        let later = FIRST_CHECKS.iter().map(|span| self.since + *span).find(|at| *at > now);
        Some(Self { due: later.unwrap_or(now + LATER_INTERVAL), ..self })
    }
}
