/// What a caller's connection is doing, as far as it decides whether it may be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallerPhase {
    /// It has been accepted, and nothing has arrived.
    Fresh,
    /// It has had an answer, and nothing of a further request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A head and a part of a body have arrived.
    Body,
    /// A whole request waits for a slot or is at a target.
    Running,
    /// The whole answer is here and is being sent.
    Reply,
}

impl CallerPhase {
    /// Whether the caller has begun a request that has not arrived whole.
    ///
    /// ```
    /// use kwg_gate::CallerPhase;
    ///
    /// assert!(CallerPhase::Body.is_partial());
    /// assert!(!CallerPhase::Running.is_partial());
    /// ```
    #[must_use]
    pub fn is_partial(self) -> bool {
        matches!(self, Self::Head | Self::Body)
    }

    /// Why a connection in this phase is closed when another caller needs its room.
    #[must_use]
    pub fn close_reason(self) -> &'static str {
        match self {
            Self::Fresh => "silent",
            Self::Idle => "idle",
            Self::Head => "partial-head",
            Self::Body => "partial-body",
            Self::Running => "running",
            Self::Reply => "unread-reply",
        }
    }
}
