use std::time::Duration;

use kwg_model::MonoTime;

use super::{SeenEnd, SuspectKey};
use crate::TargetKey;

/// How long a silent target may take to be found gone. Its entry lapses after three missed heartbeats, and the store
/// may be away meanwhile.
const CONFIRM_LIMIT: Duration = Duration::from_secs(20);

/// The suspects of a request whose target fell silent. If the target turns out to be gone, it has ended under the request.
#[derive(Debug, Clone)]
pub(crate) struct SilentRun {
    suspects: Vec<SuspectKey>,
    target: TargetKey,
    end: SeenEnd,
    noticed: MonoTime,
}

impl SilentRun {
    pub(crate) fn new(
        suspects: Vec<SuspectKey>,
        target: TargetKey,
        end: SeenEnd,
        noticed: MonoTime,
    ) -> Self {
        Self { suspects, target, end, noticed }
    }

    /// Whether the target is assumed to have lived on.
    pub(crate) fn has_expired(&self, now: MonoTime) -> bool {
        now.since(self.noticed) > CONFIRM_LIMIT
    }

    /// Suspects and end, if the target has vanished.
    pub(crate) fn confirm(
        &self,
        has_vanished: impl Fn(TargetKey) -> bool,
    ) -> Option<(&[SuspectKey], SeenEnd)> {
        has_vanished(self.target).then_some((&self.suspects[..], self.end))
    }
}
