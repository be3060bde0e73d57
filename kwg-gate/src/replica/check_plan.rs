use std::time::Duration;

use kwg_model::MonoTime;

/// Time from the reason for checks to the first one.
const FIRST_CHECK: Duration = Duration::from_millis(700);
/// Time from a check to the next one. A change has to be in force 2.5 s after the store's reads show it, and 4 s
/// after they are sound again. These limits do not add up.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_800);

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
    due: MonoTime,
    floor: u64,
}

impl CheckPlan {
    /// A plan whose checks end once a reading is proved to show all changes up to the revision `floor`.
    #[must_use]
    pub fn new(floor: u64, now: MonoTime) -> Self {
        Self { due: now + FIRST_CHECK, floor }
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
        Some(Self { due: now + CHECK_INTERVAL, ..self })
    }
}
