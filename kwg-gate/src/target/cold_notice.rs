use std::time::Duration;

use kwg_model::MonoTime;

use crate::ColdRule;

/// Longest time for which a target may say that it stays cold; longer ones are cut to it.
const LONGEST_COLD: Duration = Duration::from_secs(600);

/// What a target's entry says of how long it stays cold, and when that has arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdNotice {
    /// Time left when the entry was written; none if it does not say.
    pub left: Option<Duration>,
    /// Number of the entry's changes, by its writer.
    pub sequence: u64,
    /// When it arrived at this instance; set by the registry.
    pub arrived: MonoTime,
    /// Whether it was present in the instance's first reading, so that the run may have begun long before.
    pub is_from_start: bool,
}

impl ColdNotice {
    /// The notice of an entry as its target has written it.
    #[must_use]
    pub fn written(left: Option<Duration>, sequence: u64) -> Self {
        let left = left.map(|left| left.min(LONGEST_COLD));
        Self { left, sequence, ..Self::default() }
    }

    /// This notice as it arrives after `known`, the one that is known of the same run. An entry that repeats what is known,
    /// or does not say, changes nothing.
    pub(crate) fn received(self, known: Option<Self>, is_from_start: bool, now: MonoTime) -> Self {
        match known {
            Some(known) if self.left.is_none() => Self { sequence: self.sequence, ..known },
            Some(known) if (self.left, self.sequence) == (known.left, known.sequence) => known,
            _ => Self { arrived: now, is_from_start: is_from_start && known.is_none(), ..self },
        }
    }

    /// Until when the target is cold by its entry.
    pub(crate) fn cold_until(&self, rule: &ColdRule) -> MonoTime {
        let left = match (self.left, self.is_from_start) {
            (Some(left), _) => left,
            (None, true) => Duration::ZERO,
            (None, false) => rule.start,
        };
        self.arrived + left
    }
}
