use std::collections::BTreeMap;
use std::fmt;

use snafu::Snafu;

use crate::HybridClock;

/// Events of all processes in one order that keeps every cause before its effects.
///
/// ```
/// use kwg_telemetry::TimeLine;
///
/// let mut line = TimeLine::default();
/// line.add("stamp=131072 instance=r2 run=1 event=granted ticket=t1")?;
/// line.add("stamp=65536 instance=r1 run=1 event=claim-sent ticket=t1")?;
/// let text = line.to_string();
/// assert!(text.find("claim-sent") < text.find("granted"));
/// # Ok::<(), kwg_telemetry::TimeLineError>(())
/// ```
#[derive(Debug, Default)]
pub struct TimeLine {
    events: BTreeMap<(u64, String), String>,
}

/// The error for a line that has a stamp and cannot be placed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TimeLineError {
    /// The stamp is not a number.
    #[snafu(display("'{stamp}' is no stamp"))]
    BadStamp {
        /// The text.
        stamp: String,
    },
}

impl TimeLine {
    /// Adds a line of a log. Lines without a stamp are no events and are passed over; a line
    /// that was added before counts once.
    ///
    /// # Errors
    /// [`TimeLineError::BadStamp`] for a stamp that is no number.
    pub fn add(&mut self, line: &str) -> Result<(), TimeLineError> {
        let Some((_, rest)) = line.split_once("stamp=") else { return Ok(()) };
        let (stamp, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        let Ok(stamp) = stamp.parse() else {
            return BadStampSnafu { stamp }.fail();
        };
        self.events.insert((stamp, rest.to_owned()), rest.to_owned());
        Ok(())
    }

    /// Keeps only the events whose line contains `text`.
    pub fn retain_matching(&mut self, text: &str) {
        self.events.retain(|_, line| line.contains(text));
    }

    /// How many events there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether there is no event.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

impl fmt::Display for TimeLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start =
            self.events.keys().next().map_or(0, |(stamp, _)| HybridClock::millis_of(*stamp));
        for ((stamp, _), line) in &self.events {
            let millis = HybridClock::millis_of(*stamp) - start;
            writeln!(f, "{:>6}.{:03} {line}", millis / 1_000, millis % 1_000)?;
        }
        Ok(())
    }
}
