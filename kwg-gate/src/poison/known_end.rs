use std::time::Duration;

use kwg_model::MonoTime;

use super::end_id::EndId;

/// Shortest time in which a target that has ended is back. An answer to a request that was sent sooner shows that the
/// target had not ended.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// An end of a target under a suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownEnd {
    pub(super) id: EndId,
    pub(super) at: MonoTime,
    /// Time for which the request had been at the target.
    pub(super) held: Duration,
    pub(super) is_void: bool,
    pub(super) was_answered: bool,
    /// Whether other targets ended with it without the suspect, as far as that is known now.
    pub(super) is_near_others: bool,
    /// The same once all instances know which others ended with it.
    pub(super) is_crowded: bool,
    /// Whether it counts nevertheless, since the suspect has explained enough of the ends at that time.
    pub(super) is_proved: bool,
    /// Whether the target had begun its answer.
    pub(super) has_begun: bool,
    /// Whether a peer may know of it.
    pub(super) is_shared: bool,
}

impl KnownEnd {
    /// Whether it may be that of an event in which many targets ended.
    pub(super) fn may_be_shared(&self) -> bool {
        (self.is_crowded || self.is_near_others) && !self.is_proved
    }

    /// Whether an answer to a request that was sent at this moment may show that the run lives on.
    pub(super) fn is_refutable_by(&self, sent: MonoTime) -> bool {
        sent < self.at + RESTART_TIME
    }

    /// Whether an answer of the run to a request that was sent at this moment shows that it had not ended.
    pub(super) fn is_refuted_by(&self, sent: MonoTime) -> bool {
        self.at < sent && self.is_refutable_by(sent)
    }
}
