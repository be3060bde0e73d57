use kwg_decide::{LedgerOptions, LedgerShelf};
use kwg_model::{ClaimStub, HomeAddress, InstanceName};

/// One router of a world.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct WorldRouter {
    pub(crate) address: HomeAddress,
    pub(crate) shelf: LedgerShelf,
    /// How far it is with each ticket's request.
    pub(crate) work: Vec<RouterWork>,
    pub(crate) next_attempt: u64,
    pub(crate) handed_over: bool,
}

/// How far a router is with a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum RouterWork {
    /// It has no such request.
    Idle,
    /// The request waits in the queue.
    Queued,
    /// The home has been asked for the right to dispatch.
    Claiming { attempt: u64 },
    /// The right is here and nothing has been sent yet; the process may be paused now.
    Claimed { attempt: u64 },
    /// The request is on its way to a target.
    Dispatched,
    /// The home has been asked to burn the ticket.
    Burning { attempt: u64 },
    /// The caller has been told something final, or joined another router's answer.
    Settled,
}

impl WorldRouter {
    pub(crate) fn new(number: usize, incarnation: u64, tickets: usize) -> Self {
        let instance = InstanceName::new(format!("r{number}")).expect("a valid name");
        let address = HomeAddress { instance, incarnation, shard: 0 };
        Self {
            shelf: LedgerShelf::new(address.clone(), LedgerOptions::default()),
            address,
            work: vec![RouterWork::Idle; tickets],
            next_attempt: 0,
            handed_over: false,
        }
    }

    pub(crate) fn begin_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.next_attempt
    }

    pub(crate) fn stub(&self, attempt: u64) -> ClaimStub {
        ClaimStub { claimer: self.address.clone(), attempt }
    }
}
