/// Bounds on the events of an exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EventBudget {
    /// Total number of submissions and resends by callers.
    pub submissions: u8,
    /// Number of process crashes, each followed by a restart.
    pub crashes: u8,
    /// Number of messages delivered twice.
    pub duplicates: u8,
    /// Number of attempts that time out.
    pub timeouts: u8,
    /// Number of hand-overs, each of all ledgers of a router.
    pub hand_overs: u8,
    /// Number of clock steps; the first passes the tickets' lifetime, the second their retention.
    pub clock_steps: u8,
}

impl EventBudget {
    /// Two submissions race; one message is duplicated and one attempt times out.
    pub const RACES: Self = Self {
        submissions: 2,
        crashes: 0,
        duplicates: 1,
        timeouts: 1,
        hand_overs: 0,
        clock_steps: 0,
    };
    /// Processes crash and restart.
    pub const CRASHES: Self = Self { crashes: 2, duplicates: 0, ..Self::RACES };
    /// Ledgers are handed over, and one message may be duplicated.
    pub const HAND_OVERS: Self = Self { hand_overs: 2, ..Self::RACES };
    /// Tickets pass their lifetime and retention.
    pub const AGE: Self = Self { clock_steps: 2, duplicates: 0, ..Self::RACES };
    /// All faults: one each of crash, hand-over, clock step, duplicate and timeout.
    pub const ALL: Self = Self { crashes: 1, hand_overs: 1, clock_steps: 1, ..Self::RACES };
}
