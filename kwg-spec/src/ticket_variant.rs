use crate::EventBudget;

/// The ticket protocol as implemented, or broken in one way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TicketVariant {
    /// As implemented.
    Sound,
    /// The ledger grants a claim without recording it.
    GrantNotRecorded,
    /// "Not run" is reported without revoking the ticket.
    RefusalWithoutRevocation,
    /// Tickets carry no incarnation, so a restarted home treats the tickets of its previous run
    /// as its own.
    NoIncarnation,
    /// A grant that arrives after the attempt was abandoned is accepted.
    LateGrantAccepted,
    /// A ledger is handed over to two successors.
    TwoSuccessors,
    /// The home does not distinguish attempts: any attempt on a claimed ticket is granted.
    GrantToAnyAttempt,
}

impl TicketVariant {
    /// Every broken variant.
    pub const BROKEN: [Self; 6] = [
        Self::GrantNotRecorded,
        Self::RefusalWithoutRevocation,
        Self::NoIncarnation,
        Self::LateGrantAccepted,
        Self::TwoSuccessors,
        Self::GrantToAnyAttempt,
    ];

    /// Returns a budget of faults that is sufficient to expose the variant.
    #[must_use]
    pub fn budget(self) -> EventBudget {
        match self {
            Self::NoIncarnation => EventBudget::CRASHES,
            Self::TwoSuccessors => EventBudget::HAND_OVERS,
            _ => EventBudget::RACES,
        }
    }
}
