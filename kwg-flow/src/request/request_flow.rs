use std::time::Duration;

use kwg_decide::{ClaimFailure, ClaimRight, PendingClaim, TargetChoice};
use kwg_model::{
    CallSubmission, ClaimStub, ClaimVerdict, DispatchTicket, MonoTime, PoolName, ResumeToken,
    ServiceTier, TargetName, TicketKey, VersionName,
};

use super::DispatchOrder;

/// A request on its way; the stage says how far it is.
///
/// Every step consumes the flow, so a request that has been dispatched cannot be dispatched
/// again: only [`RequestFlow<Claimed>`] has `dispatch`.
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

/// Decoded, identified and ticketed.
#[derive(Debug)]
pub struct Received {
    received_at: MonoTime,
}

/// Accepted: its route, tier and deadline are known.
#[derive(Debug, Clone)]
pub struct Admitted {
    received_at: MonoTime,
    pool: PoolName,
    tier: ServiceTier,
    deadline: MonoTime,
}

/// Given a target with room, and asking its home for the right to dispatch.
#[derive(Debug)]
pub struct Placed {
    admitted: Admitted,
    choice: TargetChoice,
    pending: PendingClaim,
}

/// In possession of the right to dispatch.
#[derive(Debug)]
pub struct Claimed {
    admitted: Admitted,
    choice: TargetChoice,
    right: ClaimRight,
}

/// Sent to its target.
#[derive(Debug)]
pub struct Dispatched {
    admitted: Admitted,
    choice: TargetChoice,
    dispatched_at: MonoTime,
    first_byte_at: Option<MonoTime>,
}

/// Ended.
#[derive(Debug)]
pub struct Answered {
    /// From its arrival to its end.
    pub total: Duration,
    /// From its arrival to its first byte, if one came.
    pub first_byte: Option<Duration>,
    /// From its dispatch to its end.
    pub service: Duration,
    /// The pool that answered.
    pub pool: PoolName,
    /// The target that answered.
    pub target: TargetName,
    /// The version that answered.
    pub version: VersionName,
    /// The tier.
    pub tier: ServiceTier,
    /// Length of the answer, in bytes.
    pub length: u64,
}

impl<S> RequestFlow<S> {
    /// The ticket's key.
    #[must_use]
    pub fn key(&self) -> &TicketKey {
        &self.ticket.key
    }

    /// The ticket.
    #[must_use]
    pub fn ticket(&self) -> &DispatchTicket {
        &self.ticket
    }

    /// The request as submitted.
    #[must_use]
    pub fn submission(&self) -> &CallSubmission {
        &self.submission
    }

    /// The expected work, in tokens.
    #[must_use]
    pub fn cost_tokens(&self) -> u64 {
        self.submission.cost_tokens()
    }
}

impl RequestFlow<Received> {
    /// A submission under its ticket.
    #[must_use]
    pub fn receive(now: MonoTime, ticket: DispatchTicket, submission: CallSubmission) -> Self {
        Self { ticket, submission, stage: Received { received_at: now } }
    }

    /// Accepts the request.
    #[must_use]
    pub fn admit(self, pool: PoolName, tier: ServiceTier, wait: Duration) -> RequestFlow<Admitted> {
        let Self { ticket, submission, stage: Received { received_at } } = self;
        let deadline = received_at + wait;
        RequestFlow { ticket, submission, stage: Admitted { received_at, pool, tier, deadline } }
    }
}

impl RequestFlow<Admitted> {
    /// The pool that serves the request.
    #[must_use]
    pub fn pool(&self) -> &PoolName {
        &self.stage.pool
    }

    /// The tier.
    #[must_use]
    pub fn tier(&self) -> ServiceTier {
        self.stage.tier
    }

    /// When the request is of no more use.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.stage.deadline
    }

    /// Gives the request a target and starts an attempt to claim its ticket.
    #[must_use]
    pub fn place(self, choice: TargetChoice, stub: ClaimStub) -> RequestFlow<Placed> {
        let Self { ticket, submission, stage: admitted } = self;
        let pending = PendingClaim::begin(ticket.key.clone(), stub);
        RequestFlow { ticket, submission, stage: Placed { admitted, choice, pending } }
    }
}

impl RequestFlow<Placed> {
    /// When the request is of no more use.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.stage.admitted.deadline
    }

    /// The stub of the attempt under way.
    #[must_use]
    pub fn stub(&self) -> &ClaimStub {
        self.stage.pending.stub()
    }

    /// Takes the home's verdict.
    ///
    /// # Errors
    /// The failure, and the request without its target, if the claim gives no right.
    pub fn settle(
        self,
        verdict: ClaimVerdict,
    ) -> Result<RequestFlow<Claimed>, Box<(ClaimFailure, RequestFlow<Admitted>)>> {
        let Self { ticket, submission, stage: Placed { admitted, choice, pending } } = self;
        match pending.settle(verdict) {
            Ok(right) => {
                Ok(RequestFlow { ticket, submission, stage: Claimed { admitted, choice, right } })
            }
            Err(failure) => {
                let flow = RequestFlow { ticket, submission, stage: admitted };
                Err(Box::new((failure, flow)))
            }
        }
    }

    /// Gives the attempt up; a grant that comes later is void.
    #[must_use]
    pub fn abandon(self) -> (RequestFlow<Admitted>, ClaimStub) {
        let Self { ticket, submission, stage: Placed { admitted, pending, .. } } = self;
        (RequestFlow { ticket, submission, stage: admitted }, pending.abandon())
    }
}

impl RequestFlow<Claimed> {
    /// Dispatches the request: the right goes into the order, which can be made once.
    #[must_use]
    pub fn dispatch(self, now: MonoTime) -> (DispatchOrder, RequestFlow<Dispatched>) {
        let Self { ticket, submission, stage: Claimed { admitted, choice, right } } = self;
        let order = DispatchOrder {
            right,
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

    /// Gives the right up unused.
    #[must_use]
    pub fn release(self) -> (RequestFlow<Admitted>, ClaimStub) {
        let Self { ticket, submission, stage: Claimed { admitted, right, .. } } = self;
        (RequestFlow { ticket, submission, stage: admitted }, right.release())
    }

    /// Replaces the target by another one, before anything was sent.
    #[must_use]
    pub fn place_again(self, choice: TargetChoice) -> Self {
        let Self { ticket, submission, stage: Claimed { admitted, right, .. } } = self;
        Self { ticket, submission, stage: Claimed { admitted, choice, right } }
    }

    /// The pool that serves the request.
    #[must_use]
    pub fn pool(&self) -> &PoolName {
        &self.stage.admitted.pool
    }

    /// The tier.
    #[must_use]
    pub fn tier(&self) -> ServiceTier {
        self.stage.admitted.tier
    }

    /// When the request is of no more use.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.stage.admitted.deadline
    }
}

impl RequestFlow<Dispatched> {
    /// The tier.
    #[must_use]
    pub fn tier(&self) -> ServiceTier {
        self.stage.admitted.tier
    }

    /// The target that runs the request.
    #[must_use]
    pub fn choice(&self) -> &TargetChoice {
        &self.stage.choice
    }

    /// Notes a byte of the answer.
    pub fn note_byte(&mut self, now: MonoTime) {
        self.stage.first_byte_at.get_or_insert(now);
    }

    /// The token by which any router resumes the answer.
    #[must_use]
    pub fn resume_token(&self) -> ResumeToken {
        ResumeToken {
            key: self.ticket.key.clone(),
            account: self.ticket.account.clone(),
            pool: self.stage.choice.pool.clone(),
            target: self.stage.choice.target.clone(),
        }
    }

    /// Takes an order back that the shell could not start: no byte was written, so the right
    /// is whole.
    #[must_use]
    pub fn take_back(self, order: DispatchOrder) -> RequestFlow<Claimed> {
        let Self { ticket, submission, stage: Dispatched { admitted, choice, .. } } = self;
        let stage = Claimed { admitted, choice, right: order.right };
        RequestFlow { ticket, submission, stage }
    }

    /// Ends the request.
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
    /// The figures of the ended request.
    #[must_use]
    pub fn figures(&self) -> &Answered {
        &self.stage
    }
}
