use crate::{AttemptEvidence, Placement};

/// How an attempt ended without a complete answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptEnd<'a> {
    /// Where the request was sent.
    pub(crate) placement: &'a Placement,
    /// Whether the target had sent an event of its answer.
    pub(crate) has_begun: bool,
    /// What is known of the run.
    pub(crate) evidence: AttemptEvidence,
}
