//! Clock abstraction for all code that reads the time or waits.
//!
//! The runtime's timers cannot be paused, so code uses [`ClockHandle`] instead: in production it
//! reads the system's boot time clock, in tests it stands still until advanced.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod clock_handle;
mod manual_clock;

pub use clock_handle::ClockHandle;
pub use manual_clock::ManualClock;
