use kwg_decide::{LedgerOptions, LedgerSet};
use kwg_model::{ClaimId, HomeAddress, InstanceName};

/// A router of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ModelRouter {
    pub(crate) address: HomeAddress,
    pub(crate) ledgers: LedgerSet,
    /// The router's stage for the request of each ticket.
    pub(crate) stages: Vec<RequestStage>,
    pub(crate) last_attempt: u64,
    pub(crate) handed_over: bool,
}

/// Stage of a request at one router.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum RequestStage {
    /// The router has no such request.
    Idle,
    /// The request waits in the queue.
    Queued,
    /// A claim has been sent to the ticket's home.
    Claiming { attempt: u64 },
    /// The claim is granted and nothing has been sent yet; the process may be paused here.
    Claimed { attempt: u64 },
    /// The request has been sent to a target.
    Dispatched,
    /// A revocation has been sent to the ticket's home.
    Revoking { attempt: u64 },
    /// The caller has received a final outcome, or has joined another router's answer.
    Settled,
}

impl ModelRouter {
    pub(crate) fn new(number: usize, incarnation: u64, tickets: usize) -> Self {
        let instance = InstanceName::new(format!("r{number}")).expect("a valid name");
        let address = HomeAddress { instance, incarnation, shard: 0 };
        Self {
            ledgers: LedgerSet::new(address.clone(), LedgerOptions::default()),
            address,
            stages: vec![RequestStage::Idle; tickets],
            last_attempt: 0,
            handed_over: false,
        }
    }

    pub(crate) fn begin_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }

    pub(crate) fn claim_id(&self, attempt: u64) -> ClaimId {
        ClaimId { claimer: self.address.clone(), attempt }
    }
}
