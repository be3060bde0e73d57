/// How much may happen in a world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WorldBudget {
    /// Submissions and resends by callers, in all.
    pub submissions: u8,
    /// Processes that die and start again.
    pub crashes: u8,
    /// Messages that come twice.
    pub duplicates: u8,
    /// Attempts that are given up.
    pub timeouts: u8,
    /// Ledgers that are handed over.
    pub hand_overs: u8,
    /// Steps of the homes' clock: past the tickets' lifetime, then past retention.
    pub clock_steps: u8,
}

impl WorldBudget {
    /// Two callers race; messages are duplicated and attempts given up.
    pub const RACES: Self = Self {
        submissions: 2,
        crashes: 0,
        duplicates: 1,
        timeouts: 1,
        hand_overs: 0,
        clock_steps: 0,
    };
    /// Processes die and start again.
    pub const CRASHES: Self = Self { crashes: 2, duplicates: 0, ..Self::RACES };
    /// Ledgers are handed over, and the messages that do so come twice.
    pub const HAND_OVERS: Self = Self { hand_overs: 2, ..Self::RACES };
    /// Tickets grow old.
    pub const AGE: Self = Self { clock_steps: 2, duplicates: 0, ..Self::RACES };
    /// Everything once.
    pub const ALL: Self = Self { crashes: 1, hand_overs: 1, clock_steps: 1, ..Self::RACES };
}
