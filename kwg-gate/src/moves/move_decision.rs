use super::{MovePhase, VersionOrder};

/// A step of a version move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveDecision {
    /// The order of the move.
    pub order: VersionOrder,
    /// The phase of the move: [`MovePhase::Running`] if its new version was proved good and gets more
    /// requests from now on, else the phase that was reached and that is to be published.
    pub phase: MovePhase,
    /// The evidence for the decision, for logs.
    pub reason: String,
}
