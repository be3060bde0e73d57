use crate::WorldBudget;

/// The protocol of tickets as built, or broken in one way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TicketVariant {
    /// As built.
    Sound,
    /// The claim is checked and not taken: the ledger forgets the grant.
    CheckedNotTaken,
    /// "Not run" is said without burning the ticket.
    RefusalWithoutBurn,
    /// The incarnation is left out of the ticket: a restarted home takes it for its own.
    NoIncarnation,
    /// A grant that comes after the attempt was given up still counts.
    LateGrantCounts,
    /// A ledger is handed to two successors.
    TwoSuccessors,
    /// The home grants by the ticket alone: another attempt gets the same grant.
    GrantToAnyAttempt,
}

impl TicketVariant {
    /// Every broken variant.
    pub const BROKEN: [Self; 6] = [
        Self::CheckedNotTaken,
        Self::RefusalWithoutBurn,
        Self::NoIncarnation,
        Self::LateGrantCounts,
        Self::TwoSuccessors,
        Self::GrantToAnyAttempt,
    ];

    /// The faults under which the variant breaks.
    #[must_use]
    pub fn budget(self) -> WorldBudget {
        match self {
            Self::NoIncarnation => WorldBudget::CRASHES,
            Self::TwoSuccessors => WorldBudget::HAND_OVERS,
            _ => WorldBudget::RACES,
        }
    }
}
