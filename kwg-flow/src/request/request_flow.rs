use std::time::Duration;

use kwg_decide::{ClaimFailure, DispatchPermit, PendingClaim, TargetChoice};
use kwg_model::{
    CallSubmission, ClaimId, ClaimVerdict, DispatchTicket, MonoTime, PoolName, ResumeToken,
    ServiceTier, TargetName, TicketKey, VersionName,
};

use super::DispatchOrder;

/// A request in progress. The type parameter states the stage it has reached.
///
/// Every transition consumes the value, so a request cannot be dispatched twice: only
/// [`RequestFlow<Claimed>`] has `dispatch`.
///
/// ```compile_fail
/// use kwg_flow::{Claimed, RequestFlow};
///
/// fn twice(flow: RequestFlow<Claimed>, now: kwg_model::MonoTime) {
///     let first = flow.dispatch(now);
///     let second = flow.dispatch(now);
/// }
/// ```
#[derive(Debug)]
pub struct RequestFlow<S> {
    ticket: DispatchTicket,
    submission: CallSubmission,
    stage: S,
}

/// The request is decoded and authenticated and has a ticket.
#[derive(Debug)]
pub struct Received {
    received_at: MonoTime,
}

/// The request is accepted: its pool, tier and deadline are set.
#[derive(Debug, Clone)]
pub struct Admitted {
    received_at: MonoTime,
    pool: PoolName,
    tier: ServiceTier,
    deadline: MonoTime,
}

/// The request has a target with free capacity and waits for its home to grant the permit to
/// dispatch.
#[derive(Debug)]
pub struct Placed {
    admitted: Admitted,
    choice: TargetChoice,
    pending: PendingClaim,
}

/// The request holds the permit to dispatch.
#[derive(Debug)]
pub struct Claimed {
    admitted: Admitted,
    choice: TargetChoice,
    permit: DispatchPermit,
}

/// The request was sent to its target.
#[derive(Debug)]
pub struct Dispatched {
    admitted: Admitted,
    choice: TargetChoice,
    dispatched_at: MonoTime,
    first_byte_at: Option<MonoTime>,
}

/// The request has ended with a complete answer.
#[derive(Debug)]
pub struct Answered {
    /// Time from arrival to the end of the answer.
    pub total: Duration,
    /// Time from arrival to the first byte of the answer, if there was one.
    pub first_byte: Option<Duration>,
    /// Time from dispatch to the end of the answer.
    pub service: Duration,
    /// Pool that served the request.
    pub pool: PoolName,
    /// Target that served the request.
    pub target: TargetName,
    /// Version that served the request.
    pub version: VersionName,
    /// Tier of the request.
    pub tier: ServiceTier,
    /// Length of the answer, in bytes.
    pub length: u64,
}

impl<S> RequestFlow<S> {
    /// Returns the key of the ticket.
    #[must_use]
    pub fn key(&self) -> &TicketKey {
        &self.ticket.key
    }

    /// Returns the ticket.
    #[must_use]
    pub fn ticket(&self) -> &DispatchTicket {
        &self.ticket
    }

    /// Returns the request as submitted.
    #[must_use]
    pub fn submission(&self) -> &CallSubmission {
        &self.submission
    }

    /// Returns the expected work, in tokens.
    #[must_use]
    pub fn cost_tokens(&self) -> u64 {
        self.submission.cost_tokens()
    }
}

impl RequestFlow<Received> {
    /// Starts the life cycle of a submission under its ticket.
    #[must_use]
    pub fn receive(now: MonoTime, ticket: DispatchTicket, submission: CallSubmission) -> Self {
        Self { ticket, submission, stage: Received { received_at: now } }
    }

    /// Accepts the request. `time_limit` is counted from its arrival.
    #[must_use]
    pub fn admit(
        self,
        pool: PoolName,
        tier: ServiceTier,
        time_limit: Duration,
    ) -> RequestFlow<Admitted> {
        let Self { ticket, submission, stage: Received { received_at } } = self;
        let deadline = received_at + time_limit;
        RequestFlow { ticket, submission, stage: Admitted { received_at, pool, tier, deadline } }
    }
}

impl RequestFlow<Admitted> {
    /// Returns the pool that serves the request.
    #[must_use]
    pub fn pool(&self) -> &PoolName {
        &self.stage.pool
    }

    /// Returns the tier of the request.
    #[must_use]
    pub fn tier(&self) -> ServiceTier {
        self.stage.tier
    }

    /// Returns the time after which the request is refused if it has not been dispatched.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.stage.deadline
    }

    /// Assigns a target and starts an attempt to claim the ticket.
    #[must_use]
    pub fn place(self, choice: TargetChoice, claim_id: ClaimId) -> RequestFlow<Placed> {
        let Self { ticket, submission, stage: admitted } = self;
        let pending = PendingClaim::begin(ticket.key.clone(), claim_id);
        RequestFlow { ticket, submission, stage: Placed { admitted, choice, pending } }
    }
}

impl RequestFlow<Placed> {
    /// Returns the time after which the request is refused if it has not been dispatched.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.stage.admitted.deadline
    }

    /// Returns the claim id of the claim attempt in progress.
    #[must_use]
    pub fn claim_id(&self) -> &ClaimId {
        self.stage.pending.claim_id()
    }

    /// Applies the home's verdict on the claim.
    ///
    /// # Errors
    /// Returns the failure and the request without its target if the claim was not granted.
    pub fn settle(
        self,
        verdict: ClaimVerdict,
    ) -> Result<RequestFlow<Claimed>, Box<(ClaimFailure, RequestFlow<Admitted>)>> {
        let Self { ticket, submission, stage: Placed { admitted, choice, pending } } = self;
        match pending.settle(verdict) {
            Ok(permit) => {
                Ok(RequestFlow { ticket, submission, stage: Claimed { admitted, choice, permit } })
            }
            Err(failure) => {
                let flow = RequestFlow { ticket, submission, stage: admitted };
                Err(Box::new((failure, flow)))
            }
        }
    }

    /// Abandons the claim attempt. A grant that arrives later is ignored.
    #[must_use]
    pub fn abandon(self) -> (RequestFlow<Admitted>, ClaimId) {
        let Self { ticket, submission, stage: Placed { admitted, pending, .. } } = self;
        (RequestFlow { ticket, submission, stage: admitted }, pending.abandon())
    }
}

impl RequestFlow<Claimed> {
    /// Dispatches the request. The permit moves into the order, so only one order can be created.
    #[must_use]
    pub fn dispatch(self, now: MonoTime) -> (DispatchOrder, RequestFlow<Dispatched>) {
        let Self { ticket, submission, stage: Claimed { admitted, choice, permit } } = self;
        let order = DispatchOrder {
            permit,
            account: submission.account.clone(),
            pool: choice.pool.clone(),
            kind: choice.kind,
            target: choice.target.clone(),
            address: choice.address,
            version: choice.version.clone(),
            max_tokens: submission.max_tokens,
            body: submission.body.clone(),
        };
        let stage = Dispatched { admitted, choice, dispatched_at: now, first_byte_at: None };
        (order, RequestFlow { ticket, submission, stage })
    }

    /// Drops the permit without a dispatch and returns the claim id, with which the ticket can be
    /// revoked.
    #[must_use]
    pub fn release(self) -> (RequestFlow<Admitted>, ClaimId) {
        let Self { ticket, submission, stage: Claimed { admitted, permit, .. } } = self;
        (RequestFlow { ticket, submission, stage: admitted }, permit.release())
    }

    /// Replaces the target before anything was sent.
    #[must_use]
    pub fn reassign(self, choice: TargetChoice) -> Self {
        let Self { ticket, submission, stage: Claimed { admitted, permit, .. } } = self;
        Self { ticket, submission, stage: Claimed { admitted, choice, permit } }
    }

    /// Returns the pool that serves the request.
    #[must_use]
    pub fn pool(&self) -> &PoolName {
        &self.stage.admitted.pool
    }

    /// Returns the tier of the request.
    #[must_use]
    pub fn tier(&self) -> ServiceTier {
        self.stage.admitted.tier
    }

    /// Returns the time after which the request is refused if it has not been dispatched.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.stage.admitted.deadline
    }
}

impl RequestFlow<Dispatched> {
    /// Returns the tier of the request.
    #[must_use]
    pub fn tier(&self) -> ServiceTier {
        self.stage.admitted.tier
    }

    /// Returns the target that runs the request.
    #[must_use]
    pub fn choice(&self) -> &TargetChoice {
        &self.stage.choice
    }

    /// Records the arrival of a byte of the answer; only the first one counts.
    pub fn record_byte(&mut self, now: MonoTime) {
        self.stage.first_byte_at.get_or_insert(now);
    }

    /// Returns the token with which any router can resume the answer.
    #[must_use]
    pub fn resume_token(&self) -> ResumeToken {
        ResumeToken {
            key: self.ticket.key.clone(),
            account: self.ticket.account.clone(),
            pool: self.stage.choice.pool.clone(),
            target: self.stage.choice.target.clone(),
        }
    }

    /// Returns to the claimed stage with an order that the target client could not start.
    ///
    /// No byte was written, so the permit is still valid.
    #[must_use]
    pub fn undo_dispatch(self, order: DispatchOrder) -> RequestFlow<Claimed> {
        let Self { ticket, submission, stage: Dispatched { admitted, choice, .. } } = self;
        let stage = Claimed { admitted, choice, permit: order.permit };
        RequestFlow { ticket, submission, stage }
    }

    /// Ends the request with a complete answer.
    #[must_use]
    pub fn answer(self, now: MonoTime, length: u64) -> RequestFlow<Answered> {
        let Self { ticket, submission, stage } = self;
        let Dispatched { admitted, choice, dispatched_at, first_byte_at } = stage;
        let Admitted { received_at, tier, .. } = admitted;
        let stage = Answered {
            total: now.since(received_at),
            first_byte: first_byte_at.map(|at| at.since(received_at)),
            service: now.since(dispatched_at),
            pool: choice.pool.clone(),
            target: choice.target.clone(),
            version: choice.version.clone(),
            tier,
            length,
        };
        RequestFlow { ticket, submission, stage }
    }
}

impl RequestFlow<Answered> {
    /// Returns the measurements of the ended request.
    #[must_use]
    pub fn measurements(&self) -> &Answered {
        &self.stage
    }
}
