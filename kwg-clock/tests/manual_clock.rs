//! A manual clock stands still until advanced, and wakes only sleepers whose deadline has passed.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};
use std::time::Duration;

use kwg_clock::{ClockHandle, ManualClock};

#[test]
fn sleepers_wake_at_their_deadline_and_not_before() {
    let manual = ManualClock::new();
    let clock = ClockHandle::manual(&manual);
    let mut sleep = pin!(clock.sleep(Duration::from_millis(20)));
    let mut context = Context::from_waker(Waker::noop());
    assert!(sleep.as_mut().poll(&mut context).is_pending());
    manual.advance(Duration::from_millis(19));
    assert!(sleep.as_mut().poll(&mut context).is_pending());
    manual.advance(Duration::from_millis(1));
    assert!(sleep.as_mut().poll(&mut context).is_ready());
}
