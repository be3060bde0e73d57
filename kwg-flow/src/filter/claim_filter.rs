use kwg_decide::{ClaimFailure, LedgerOptions, LedgerRoute, LedgerShelf, MintError, TargetChoice};
use kwg_model::{
    AccountName, BurnVerdict, ClaimStub, ClaimVerdict, DispatchTicket, HomeAddress, LedgerExport,
    MonoTime, NotRunReason, ServiceTier, TicketKey,
};

use super::{FlowContext, FlowPipe};
use crate::pending::{PendingReply, ReplyTable, TimerKey};
use crate::{Admitted, Claimed, EventKind, Placed, RequestFlow, TrafficMessage};

/// Obtains the permit to dispatch, or confirmation that no core holds one.
///
/// It sends claims and revocations to the ticket's home, which may be this core, and answers those
/// of other cores for the ledgers kept here.
#[derive(Debug)]
pub(crate) struct ClaimFilter {
    address: HomeAddress,
    ledgers: LedgerShelf,
    claims: ReplyTable<RequestFlow<Placed>>,
    revocations: ReplyTable<RevokeRequest>,
    next_attempt: u64,
}

/// A request to be refused once its ticket is revoked.
#[derive(Debug, Clone)]
pub(crate) struct RevokeRequest {
    pub(crate) ticket: DispatchTicket,
    pub(crate) reason: NotRunReason,
    pub(crate) tier: Option<ServiceTier>,
}

/// Result of a claim.
#[derive(Debug)]
pub(crate) enum ClaimStep {
    /// The home granted the claim; the request may be dispatched.
    Granted(RequestFlow<Claimed>),
    /// The claim was sent; the reply is outstanding.
    Waiting,
    /// The home refused the claim.
    Refused(ClaimFailure, RequestFlow<Admitted>),
    /// The home did not reply in time; the attempt must be revoked.
    TimedOut(RequestFlow<Admitted>, ClaimStub),
}

/// Result of a revocation.
#[derive(Debug)]
pub(crate) enum RevokeStep {
    /// The revocation was sent; the reply is outstanding.
    Waiting,
    /// The home returned its verdict, or has ended, or did not reply in time.
    Settled(RevokeRequest, BurnVerdict),
}

impl ClaimFilter {
    pub(crate) fn new(address: &HomeAddress, options: LedgerOptions) -> Self {
        Self {
            ledgers: LedgerShelf::new(address.clone(), options),
            address: address.clone(),
            claims: ReplyTable::default(),
            revocations: ReplyTable::default(),
            next_attempt: 0,
        }
    }

    /// Mints tickets whose home is this core. Returns `None` once its ledger is handed over.
    pub(crate) fn mint(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        count: usize,
    ) -> Option<Result<Vec<DispatchTicket>, MintError>> {
        self.ledgers.mint(now, account, count)
    }

    /// Returns the core that holds a ticket of a ledger kept here.
    pub(crate) fn holder(&self, key: &TicketKey) -> Option<&HomeAddress> {
        self.ledgers.holder(key)
    }

    /// Returns an attempt number that this core has not used before.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Claims the ticket of a request that has a target.
    pub(crate) fn apply(
        &mut self,
        context: &FlowContext<'_>,
        flow: RequestFlow<Admitted>,
        choice: TargetChoice,
        pipe: &mut FlowPipe<'_>,
    ) -> ClaimStep {
        let attempt = self.next_attempt();
        let flow = flow.place(choice, ClaimStub { claimer: self.address.clone(), attempt });
        self.send_claim(context, flow, pipe)
    }

    fn send_claim(
        &mut self,
        context: &FlowContext<'_>,
        flow: RequestFlow<Placed>,
        pipe: &mut FlowPipe<'_>,
    ) -> ClaimStep {
        match self.route(context, &flow.key().home) {
            LedgerRoute::Here => {
                let verdict = self.ledgers.claim(context.now, flow.ticket(), flow.stub());
                settle(flow, verdict)
            }
            LedgerRoute::Gone => settle(flow, ClaimVerdict::HomeGone),
            LedgerRoute::At(home) => {
                let kind = EventKind::ClaimSent { home: home.clone() };
                pipe.event(flow.key(), kind);
                pipe.send(&home, claim_message(&flow));
                let attempt = flow.stub().attempt;
                // A paused home may resume, so the claim waits as long as the caller does. The wait
                // is bounded because the request occupies capacity at its target meanwhile.
                let deadline = flow.deadline().min(context.now + context.options.claim_timeout);
                pipe.timers.set(context.now + context.options.home_retry, TimerKey::Claim(attempt));
                self.claims.insert(attempt, PendingReply { recipient: home, deadline, item: flow });
                ClaimStep::Waiting
            }
        }
    }

    /// Handles a home's verdict on a claim. Verdicts on abandoned attempts are ignored.
    pub(crate) fn on_claim_reply(
        &mut self,
        attempt: u64,
        verdict: ClaimVerdict,
        pipe: &mut FlowPipe<'_>,
    ) -> ClaimStep {
        let Some(pending) = self.claims.take(attempt) else {
            return ClaimStep::Waiting;
        };
        if let ClaimVerdict::Moved(successor) = verdict {
            pipe.send(&successor, claim_message(&pending.item));
            self.claims.insert(attempt, PendingReply { recipient: successor, ..pending });
            return ClaimStep::Waiting;
        }
        settle(pending.item, verdict)
    }

    /// Resends a claim, or abandons it at its deadline.
    pub(crate) fn on_claim_timer(
        &mut self,
        context: &FlowContext<'_>,
        attempt: u64,
        pipe: &mut FlowPipe<'_>,
    ) -> ClaimStep {
        let Some(pending) = self.claims.take(attempt) else {
            return ClaimStep::Waiting;
        };
        if context.now >= pending.deadline {
            let (flow, stub) = pending.item.abandon();
            return ClaimStep::TimedOut(flow, stub);
        }
        pipe.send(&pending.recipient, claim_message(&pending.item));
        pipe.timers.set(context.now + context.options.home_retry, TimerKey::Claim(attempt));
        self.claims.insert(attempt, pending);
        ClaimStep::Waiting
    }

    /// Revokes a ticket at its home. The stub of an unused claim revokes that claim.
    pub(crate) fn revoke(
        &mut self,
        context: &FlowContext<'_>,
        request: RevokeRequest,
        stub: Option<ClaimStub>,
        pipe: &mut FlowPipe<'_>,
    ) -> RevokeStep {
        let stub = stub.unwrap_or_else(|| ClaimStub {
            claimer: self.address.clone(),
            attempt: self.next_attempt(),
        });
        match self.route(context, &request.ticket.key.home) {
            LedgerRoute::Here => {
                let verdict = self.ledgers.burn(context.now, &request.ticket, &stub);
                if verdict == BurnVerdict::Burned {
                    pipe.event(&request.ticket.key, EventKind::Burned);
                }
                RevokeStep::Settled(request, verdict)
            }
            LedgerRoute::Gone => RevokeStep::Settled(request, BurnVerdict::HomeGone),
            LedgerRoute::At(home) => {
                pipe.send(&home, revoke_message(&request, &stub));
                let deadline = context.now + context.options.home_timeout;
                let retry = context.now + context.options.home_retry;
                pipe.timers.set(retry, TimerKey::Revoke(stub.attempt));
                let pending = PendingReply { recipient: home, deadline, item: request };
                self.revocations.insert(stub.attempt, pending);
                RevokeStep::Waiting
            }
        }
    }

    /// Handles a home's verdict on a revocation.
    pub(crate) fn on_revoke_reply(
        &mut self,
        attempt: u64,
        verdict: BurnVerdict,
        pipe: &mut FlowPipe<'_>,
    ) -> RevokeStep {
        let Some(pending) = self.revocations.take(attempt) else {
            return RevokeStep::Waiting;
        };
        if let BurnVerdict::Moved(successor) = verdict {
            pipe.send(&successor, revoke_message(&pending.item, &self.stub(attempt)));
            self.revocations.insert(attempt, PendingReply { recipient: successor, ..pending });
            return RevokeStep::Waiting;
        }
        RevokeStep::Settled(pending.item, verdict)
    }

    /// Resends a revocation, or gives it up at its deadline.
    ///
    /// The state of the ticket is unknown then.
    pub(crate) fn on_revoke_timer(
        &mut self,
        context: &FlowContext<'_>,
        attempt: u64,
        pipe: &mut FlowPipe<'_>,
    ) -> RevokeStep {
        let Some(pending) = self.revocations.take(attempt) else {
            return RevokeStep::Waiting;
        };
        if context.now >= pending.deadline {
            return RevokeStep::Settled(pending.item, BurnVerdict::HomeGone);
        }
        pipe.send(&pending.recipient, revoke_message(&pending.item, &self.stub(attempt)));
        pipe.timers.set(context.now + context.options.home_retry, TimerKey::Revoke(attempt));
        self.revocations.insert(attempt, pending);
        RevokeStep::Waiting
    }

    /// Answers another core's claim on a ledger kept here.
    pub(crate) fn serve_claim(
        &mut self,
        context: &FlowContext<'_>,
        from: &HomeAddress,
        ticket: &DispatchTicket,
        stub: &ClaimStub,
        pipe: &mut FlowPipe<'_>,
    ) {
        let verdict = self.ledgers.claim(context.now, ticket, stub);
        if verdict == ClaimVerdict::Granted {
            pipe.event(&ticket.key, EventKind::Granted { claimer: stub.claimer.clone() });
        }
        pipe.send(from, TrafficMessage::ClaimReply { attempt: stub.attempt, verdict });
    }

    /// Answers another core's revocation on a ledger kept here.
    pub(crate) fn serve_revoke(
        &mut self,
        context: &FlowContext<'_>,
        from: &HomeAddress,
        ticket: &DispatchTicket,
        stub: &ClaimStub,
        pipe: &mut FlowPipe<'_>,
    ) {
        let verdict = self.ledgers.burn(context.now, ticket, stub);
        if verdict == BurnVerdict::Burned {
            pipe.event(&ticket.key, EventKind::Burned);
        }
        pipe.send(from, TrafficMessage::BurnReply { attempt: stub.attempt, verdict });
    }

    /// Returns the claims and revocations sent to an incarnation that has ended.
    pub(crate) fn orphaned(&self, context: &FlowContext<'_>) -> (Vec<u64>, Vec<u64>) {
        let replaced = |home: &HomeAddress| context.is_replaced(home);
        (self.claims.attempts_to(replaced), self.revocations.attempts_to(replaced))
    }

    /// Settles a claim whose home has ended.
    pub(crate) fn abort_claim(&mut self, attempt: u64) -> ClaimStep {
        let pending = self.claims.take(attempt);
        pending.map_or(ClaimStep::Waiting, |pending| settle(pending.item, ClaimVerdict::HomeGone))
    }

    /// Settles a revocation whose home has ended.
    pub(crate) fn abort_revoke(&mut self, attempt: u64) -> RevokeStep {
        let pending = self.revocations.take(attempt);
        pending.map_or(RevokeStep::Waiting, |pending| {
            RevokeStep::Settled(pending.item, BurnVerdict::HomeGone)
        })
    }

    /// Returns whether no claim or revocation is outstanding.
    pub(crate) fn is_idle(&self) -> bool {
        self.claims.is_empty() && self.revocations.is_empty()
    }

    /// Returns the number of outstanding claims and revocations.
    pub(crate) fn waiting(&self) -> usize {
        self.claims.len() + self.revocations.len()
    }

    /// Takes over a ledger. Returns `false` if this core cannot answer for it.
    pub(crate) fn inherit(&mut self, now: MonoTime, export: LedgerExport) -> bool {
        let home = export.home.clone();
        self.ledgers.inherit(now, export) || self.ledgers.has_inherited(&home)
    }

    /// Exports every ledger kept here for the successor `to`.
    pub(crate) fn hand_over(&mut self, now: MonoTime, to: &HomeAddress) -> Vec<LedgerExport> {
        self.ledgers.hand_over(now, to)
    }

    /// Removes ledger entries past their retention.
    pub(crate) fn evict_expired(&mut self, now: MonoTime) {
        self.ledgers.forget_old(now);
    }

    /// Returns the number of tickets recorded as claimed or revoked.
    pub(crate) fn entry_count(&self) -> usize {
        self.ledgers.entry_count()
    }

    fn route(&self, context: &FlowContext<'_>, home: &HomeAddress) -> LedgerRoute {
        let successor = context.fleet.moved.get(home);
        self.ledgers.route(home, successor, context.is_replaced(home))
    }

    fn stub(&self, attempt: u64) -> ClaimStub {
        ClaimStub { claimer: self.address.clone(), attempt }
    }
}

fn settle(flow: RequestFlow<Placed>, verdict: ClaimVerdict) -> ClaimStep {
    match flow.settle(verdict) {
        Ok(flow) => ClaimStep::Granted(flow),
        Err(refused) => ClaimStep::Refused(refused.0, refused.1),
    }
}

fn claim_message(flow: &RequestFlow<Placed>) -> TrafficMessage {
    TrafficMessage::Claim { ticket: flow.ticket().clone(), stub: flow.stub().clone() }
}

fn revoke_message(request: &RevokeRequest, stub: &ClaimStub) -> TrafficMessage {
    TrafficMessage::Burn { ticket: request.ticket.clone(), stub: stub.clone() }
}
