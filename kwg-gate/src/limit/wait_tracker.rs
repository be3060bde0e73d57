use std::collections::HashMap;
use std::time::Duration;

/// Longest time that callers of each route were willing to wait, by their deadlines.
///
/// A refused caller retries within its deadline under a new id and with less time left. The time
/// it has already spent is estimated as the difference from the longest wait of the route.
///
/// ```
/// use std::time::Duration;
///
/// use kwg_gate::WaitTracker;
///
/// let mut waits = WaitTracker::default();
/// assert_eq!(waits.time_spent("drafts", Duration::from_secs(12)), Duration::ZERO);
/// assert_eq!(waits.time_spent("drafts", Duration::from_secs(11)), Duration::from_secs(1));
/// ```
#[derive(Debug, Clone, Default)]
pub struct WaitTracker {
    longest: HashMap<String, Duration>,
}

impl WaitTracker {
    /// Records how long a caller of a route will wait from now on; returns the estimate of how long
    /// it has waited already.
    pub fn time_spent(&mut self, route: &str, wait: Duration) -> Duration {
        match self.longest.get_mut(route) {
            Some(longest) => {
                *longest = (*longest).max(wait);
                longest.saturating_sub(wait)
            }
            None => {
                self.longest.insert(route.to_owned(), wait);
                Duration::ZERO
            }
        }
    }

    /// Removes the routes for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.longest.retain(|route, _| is_kept(route));
    }
}
