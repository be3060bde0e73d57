use std::time::Duration;

use crate::{EndKey, RefusedGroup, SuspectKey, TargetId};

/// A change of what is known of a request that may end its targets, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum SuspectEvent {
    /// An end of a target is known.
    EndKnown {
        /// Which end.
        key: EndKey,
        /// The target, if this instance has its entry.
        target: Option<TargetId>,
        /// Who has seen it.
        source: EndSource,
        /// Number of ends that count so far.
        count: usize,
    },
    /// Requests are refused from now on.
    Refused(RefusedGroup),
    /// They are no longer refused.
    Released {
        /// What they have.
        suspects: Vec<SuspectKey>,
        /// Why.
        cause: ReleaseCause,
    },
}

/// Who has seen an end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndSource {
    /// This instance.
    Own,
    /// A peer or a failure domain; it may have heard it from another one.
    Peer(Box<str>),
}

/// Why requests are no longer refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseCause {
    /// Some of the ends do not count: one was answered, targets had not ended, or another suspect explains the ends.
    Refuted,
    /// No target has ended under it for this long.
    Expired(Duration),
}

impl EndSource {
    /// The name in log lines.
    #[must_use]
    pub fn as_str(&self) -> &str {
        match self {
            Self::Own => "own",
            Self::Peer(name) => name,
        }
    }
}
