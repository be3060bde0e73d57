use std::collections::BTreeMap;
use std::fmt;

use snafu::Snafu;

use crate::HybridClock;

/// The events of several processes merged in an order that places every cause before its effects.
///
/// ```
/// use kwg_telemetry::Timeline;
///
/// let mut timeline = Timeline::default();
/// timeline.add("stamp=131072 instance=r2 run=1 event=granted ticket=t1")?;
/// timeline.add("stamp=65536 instance=r1 run=1 event=claim-sent ticket=t1")?;
/// let text = timeline.to_string();
/// assert!(text.find("claim-sent") < text.find("granted"));
/// # Ok::<(), kwg_telemetry::TimelineError>(())
/// ```
#[derive(Debug, Default)]
pub struct Timeline {
    events: BTreeMap<(u64, String), String>,
}

/// Error for a log line with an invalid stamp.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TimelineError {
    /// The stamp is not a number.
    #[snafu(display("'{stamp}' is not a stamp"))]
    BadStamp {
        /// The text in place of a stamp.
        stamp: String,
    },
}

impl Timeline {
    /// Adds a log line. Lines without a stamp are not events and are skipped; duplicates are merged.
    ///
    /// # Errors
    /// [`TimelineError::BadStamp`] if the stamp is not a number.
    pub fn add(&mut self, line: &str) -> Result<(), TimelineError> {
        let Some((_, rest)) = line.split_once("stamp=") else { return Ok(()) };
        let (stamp, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        let Ok(stamp) = stamp.parse() else {
            return BadStampSnafu { stamp }.fail();
        };
        self.events.insert((stamp, rest.to_owned()), rest.to_owned());
        Ok(())
    }

    /// Removes the events whose line does not contain `text`.
    pub fn retain_matching(&mut self, text: &str) {
        self.events.retain(|_, line| line.contains(text));
    }

    /// The number of events.
    #[must_use]
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether there are no events.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

impl fmt::Display for Timeline {
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
