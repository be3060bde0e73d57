use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};
use std::time::Duration;

use kwg_model::MonoTime;

/// A clock that stands still until a test advances it.
#[derive(Debug, Default)]
pub struct ManualClock(Mutex<ClockState>);

#[derive(Debug, Default)]
struct ClockState {
    now: MonoTime,
    sleepers: Vec<(MonoTime, Waker)>,
}

impl ManualClock {
    /// Creates a clock that reads zero.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.state().now
    }

    /// Moves the clock forward and wakes the sleepers whose deadline has passed.
    pub fn advance(&self, span: Duration) {
        let mut state = self.state();
        state.now = state.now + span;
        let now = state.now;
        let (due, waiting) = state.sleepers.drain(..).partition(|(deadline, _)| *deadline <= now);
        state.sleepers = waiting;
        drop(state);
        let due: Vec<(MonoTime, Waker)> = due;
        due.into_iter().for_each(|(_, waker)| waker.wake());
    }

    /// Waits until the clock reads at least `deadline`.
    pub(crate) async fn wait_until(&self, deadline: MonoTime) {
        poll_fn(|context| {
            let mut state = self.state();
            if state.now >= deadline {
                return Poll::Ready(());
            }
            state.sleepers.push((deadline, context.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    fn state(&self) -> MutexGuard<'_, ClockState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
