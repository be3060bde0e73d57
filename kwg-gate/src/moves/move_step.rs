use super::MovePhase;

/// What follows for a running move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum MoveStep {
    /// Nothing yet.
    Continue,
    /// The new version is proved good; the ramp begins. Holds the evidence.
    Prove(String),
    /// The new version is proved good under load and gets all requests. Holds the evidence.
    ProveLoaded(String),
    /// The new version was not proved good in time. Holds the evidence.
    Fail(String),
    /// The move ends in this phase. Holds the evidence.
    End(MovePhase, String),
}
