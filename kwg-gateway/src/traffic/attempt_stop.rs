use kwg_gate::AttemptEvidence;

use super::answer_relay::CallerDisconnected;

/// Why an attempt ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptStop {
    Evidence(AttemptEvidence),
    CallerDisconnected,
}

impl From<CallerDisconnected> for AttemptStop {
    fn from(_: CallerDisconnected) -> Self {
        Self::CallerDisconnected
    }
}

impl From<AttemptEvidence> for AttemptStop {
    fn from(evidence: AttemptEvidence) -> Self {
        Self::Evidence(evidence)
    }
}
