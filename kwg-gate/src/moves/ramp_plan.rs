use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Rate of requests at the targets that serve the ramp, in relation to the mean rate of a version that serves
/// alone, so that the load builds up soon. Placement limits the load to that of old targets.
const RAMP_RATE: f64 = 1.25;

/// How a new version is loaded before it serves alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RampPlan {
    /// Part of the requests for the new version, in thousandths.
    pub share_permille: u16,
    /// Number of its targets that serve them.
    pub targets: u32,
    /// Time after which the tolerated exposure is used up, in milliseconds.
    pub length_ms: u32,
}

impl RampPlan {
    /// Plans the load of a version of `fleet` targets for `time`. `exposure` is how many requests it may
    /// get, as time for which it could get all of them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kwg_gate::RampPlan;
    ///
    /// let plan = RampPlan::new(Duration::from_secs(1), Duration::from_secs(3), 12);
    /// assert_eq!((plan.targets, plan.share_permille), (3, 312));
    /// assert_eq!(plan.length_ms, 3_205);
    /// ```
    #[must_use]
    pub fn new(exposure: Duration, time: Duration, fleet: u32) -> Self {
        let fleet = f64::from(fleet.max(1));
        let affordable = exposure.as_secs_f64() / time.as_secs_f64().max(1e-3);
        let targets = (affordable * fleet / RAMP_RATE).floor().clamp(1.0, fleet);
        let share_permille = ((targets / fleet * RAMP_RATE).min(1.0) * 1e3).floor().max(1.0);
        let length_ms = exposure.as_secs_f64() * 1e3 / (share_permille / 1e3);
        Self {
            share_permille: share_permille as u16,
            targets: targets as u32,
            length_ms: length_ms as u32,
        }
    }

    /// Share of the requests for the new version at a time since the begin of the ramp.
    pub(super) fn share(&self, elapsed: Duration) -> f64 {
        match elapsed.as_millis() <= u128::from(self.length_ms) {
            true => f64::from(self.share_permille) / 1e3,
            false => 0.0,
        }
    }
}
