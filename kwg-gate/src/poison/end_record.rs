use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::packed_end::PackedEnd;
use crate::{SuspectKey, TargetRun};

/// Identifies one end of a target under one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EndKey {
    /// What the request had.
    pub suspect: SuspectKey,
    /// The run of the target.
    pub run: TargetRun,
    /// Number of ends of this run that were known when the request was sent. It is 0, unless the
    /// target has started again and its entry does not show that yet.
    pub ordinal: u8,
}

/// An end of a target under one suspect, as instances report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedEnd", into = "PackedEnd")]
pub struct EndRecord {
    /// Which end it is.
    pub key: EndKey,
    /// Whether it does not count: the suspect was answered later, or the target had not ended.
    pub is_void: bool,
    /// Whether the suspect was answered in the time before.
    pub was_answered: bool,
    /// Whether other targets ended with it without the suspect.
    pub is_crowded: bool,
    /// Whether it counts nevertheless, since the suspect has explained enough of the ends at that time.
    pub is_proved: bool,
    /// Whether the target had begun its answer.
    pub has_begun: bool,
    /// Time for which the request had been at the target, in milliseconds; the least if there were several.
    pub held_ms: u32,
    /// Its age when the report was made, in milliseconds.
    pub age_ms: u32,
}

impl EndRecord {
    /// Its age when the report was made.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }

    /// Time for which the request had been at the target.
    #[must_use]
    pub fn held(&self) -> Duration {
        Duration::from_millis(u64::from(self.held_ms))
    }

    /// Adds what another report of the same end says.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.is_void |= other.is_void;
        self.was_answered |= other.was_answered;
        self.is_crowded |= other.is_crowded;
        self.is_proved |= other.is_proved;
        self.has_begun &= other.has_begun;
        self.held_ms = self.held_ms.min(other.held_ms);
        self.age_ms = self.age_ms.max(other.age_ms);
    }

    /// What a report says beside the age, which grows all the time.
    pub(crate) fn flags(&self) -> [bool; 4] {
        [self.is_void, self.was_answered, self.is_crowded, self.is_proved]
    }
}
