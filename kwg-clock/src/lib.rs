//! The one clock under everything that waits or reads time.
//!
//! The runtime's timers cannot be paused, so [`ClockHandle`] stands between: in a process it
//! reads the system's clock since boot, in a test it stands still until advanced.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod clock_handle;
mod manual_clock;

pub use clock_handle::ClockHandle;
pub use manual_clock::ManualClock;
