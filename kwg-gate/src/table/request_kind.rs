/// How often a request may run, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether a second run may continue after the last event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may be retried after a run with unknown outcome.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Name of the kind in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Stream { resumable: true } => "stream-resumable",
            Self::Stream { resumable: false } => "stream",
        }
    }
}
