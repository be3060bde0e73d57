/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// It is answered by a stream of events.
    Stream {
        /// Whether a second run may go on behind the last event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a run whose fate is unknown may be followed by another one.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// The kind's name in logs and metrics.
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
