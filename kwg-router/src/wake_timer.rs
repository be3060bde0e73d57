use std::future::{Future, pending};
use std::pin::Pin;

use kwg_clock::ClockHandle;
use kwg_model::MonoTime;

/// A timer that is re-armed only when its time changes.
///
/// A core's next wake time is unchanged by most inputs, such as each relayed token.
pub(crate) struct WakeTimer {
    clock: ClockHandle,
    at: Option<MonoTime>,
    sleep: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl WakeTimer {
    pub(crate) fn new(clock: ClockHandle) -> Self {
        Self { clock, at: None, sleep: None }
    }

    /// Sets the wake time; `None` disarms the timer.
    pub(crate) fn set(&mut self, at: Option<MonoTime>) {
        if at != self.at {
            self.at = at;
            self.sleep = None;
        }
    }

    /// Waits until the wake time, then disarms the timer. Waits forever if it is disarmed.
    pub(crate) async fn wait(&mut self) {
        let Some(at) = self.at else { return pending().await };
        let clock = self.clock.clone();
        let sleep =
            self.sleep.get_or_insert_with(|| Box::pin(async move { clock.sleep_until(at).await }));
        sleep.as_mut().await;
        self.at = None;
        self.sleep = None;
    }
}
