use std::time::Duration;

use kwg_model::MonoTime;

use super::GateCore;

/// Longest time after its start for which an instance awaits what its peers know: several digests, and the store
/// calls by which peers are found. Peers that do not answer by then may be gone.
const JOIN_LIMIT: Duration = Duration::from_secs(2);

impl GateCore {
    /// Lets requests wait until the instance has received what its peers know of requests that end their targets, and
    /// for two seconds at most. An instance that starts between two ends would send such a request once more.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use kwg_gate::{GateCore, GateOptions};
    /// use kwg_model::MonoTime;
    ///
    /// let (mut core, now) = (GateCore::new(GateOptions::default()), MonoTime::from_millis(1));
    /// core.begin_joining(now);
    /// assert!(core.is_joining(now));
    /// assert!(!core.is_joining(now + Duration::from_secs(2)), "no peer has answered");
    /// assert!(core.complete_joining(now));
    /// assert!(!core.is_joining(now));
    /// ```
    pub fn begin_joining(&mut self, now: MonoTime) {
        self.joining_until = Some(now + JOIN_LIMIT);
    }

    /// Ends what [`Self::begin_joining`] has begun; returns whether it had not ended.
    pub fn complete_joining(&mut self, now: MonoTime) -> bool {
        let was_joining = self.is_joining(now);
        self.joining_until = None;
        was_joining
    }

    /// Whether requests wait because the instance does not know yet what its peers know.
    #[must_use]
    pub fn is_joining(&self, now: MonoTime) -> bool {
        self.joining_end(now).is_some()
    }

    /// When requests wait no longer for what the peers know; none if they do not.
    pub(super) fn joining_end(&self, now: MonoTime) -> Option<MonoTime> {
        self.joining_until.filter(|until| now < *until)
    }
}
