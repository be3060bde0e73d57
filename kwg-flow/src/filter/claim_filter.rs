use kwg_decide::{ClaimFailure, LedgerOptions, LedgerRoute, LedgerSet, MintError, TargetChoice};
use kwg_model::{
    AccountName, ClaimId, ClaimVerdict, DispatchTicket, HomeAddress, LedgerExport, MonoTime,
    NotRunReason, RevokeVerdict, ServiceTier, TicketKey,
};

use super::{FlowContext, FlowPipe};
use crate::pending::{PendingReply, ReplyTable, TimerKey};
use crate::{Admitted, Claimed, EventKind, Placed, RequestFlow, TrafficMessage};

/// Obtains the permit to dispatch, or confirmation that no core holds one.
///
/// It sends claims and revocations to the ticket's home, or decides them if the ledger is kept
/// here, and answers those of other cores.
#[derive(Debug)]
pub(crate) struct ClaimFilter {
    address: HomeAddress,
    ledgers: LedgerSet,
    claims: ReplyTable<RequestFlow<Placed>>,
    revocations: ReplyTable<RevokeRequest>,
    /// Number of the last claim or revocation attempt.
    last_attempt: u64,
}

/// A request to be refused once its ticket is revoked.
#[derive(Debug, Clone)]
pub(crate) struct RevokeRequest {
    pub(crate) ticket: DispatchTicket,
    /// Reason reported to the caller once the ticket is revoked.
    pub(crate) reason: NotRunReason,
    /// Tier of the request, for the events.
    pub(crate) tier: Option<ServiceTier>,
}

/// Result of a claim.
#[derive(Debug)]
pub(crate) enum ClaimStep {
    /// The home granted the claim; the request may be dispatched.
    Granted(RequestFlow<Claimed>),
    /// No result yet: the reply is outstanding, or the input was for an attempt that is no longer
    /// awaited.
    Waiting,
    /// The home refused the claim.
    Refused(ClaimFailure, RequestFlow<Admitted>),
    /// The home did not reply in time; the attempt must be revoked.
    TimedOut(RequestFlow<Admitted>, ClaimId),
}

/// Result of a revocation.
#[derive(Debug)]
pub(crate) enum RevokeStep {
    /// No result yet: the reply is outstanding, or the input was for an attempt that is no longer
    /// awaited.
    Waiting,
    /// The verdict on the ticket; [`RevokeVerdict::HomeEnded`] also if the home did not reply in
    /// time.
    Settled(RevokeRequest, RevokeVerdict),
}

impl ClaimFilter {
    pub(crate) fn new(address: &HomeAddress, options: LedgerOptions) -> Self {
        Self {
            ledgers: LedgerSet::new(address.clone(), options),
            address: address.clone(),
            claims: ReplyTable::default(),
            revocations: ReplyTable::default(),
            last_attempt: 0,
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
        self.last_attempt += 1;
        self.last_attempt
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
        let flow = flow.place(choice, ClaimId { claimer: self.address.clone(), attempt });
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
                let verdict = self.ledgers.claim(context.now, flow.ticket(), flow.claim_id());
                settle(flow, verdict)
            }
            LedgerRoute::Ended => settle(flow, ClaimVerdict::HomeEnded),
            LedgerRoute::At(home) => {
                let kind = EventKind::ClaimSent { home: home.clone() };
                pipe.event(flow.key(), kind);
                pipe.send(&home, claim_message(&flow));
                let attempt = flow.claim_id().attempt;
                // A paused home may resume, so the claim waits as long as the caller does. The wait
                // is bounded because the request occupies capacity at its target meanwhile.
                let deadline = flow.deadline().min(context.now + context.options.claim_timeout);
                pipe.timers.set(
                    context.now + context.options.home_retry_interval,
                    TimerKey::Claim(attempt),
                );
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
            let (flow, claim_id) = pending.item.abandon();
            return ClaimStep::TimedOut(flow, claim_id);
        }
        pipe.send(&pending.recipient, claim_message(&pending.item));
        pipe.timers
            .set(context.now + context.options.home_retry_interval, TimerKey::Claim(attempt));
        self.claims.insert(attempt, pending);
        ClaimStep::Waiting
    }

    /// Revokes a ticket at its home. The claim id of an unused claim revokes that claim.
    pub(crate) fn revoke(
        &mut self,
        context: &FlowContext<'_>,
        request: RevokeRequest,
        claim_id: Option<ClaimId>,
        pipe: &mut FlowPipe<'_>,
    ) -> RevokeStep {
        let claim_id = claim_id.unwrap_or_else(|| ClaimId {
            claimer: self.address.clone(),
            attempt: self.next_attempt(),
        });
        match self.route(context, &request.ticket.key.home) {
            LedgerRoute::Here => {
                let verdict = self.ledgers.revoke(context.now, &request.ticket, &claim_id);
                if verdict == RevokeVerdict::Revoked {
                    pipe.event(&request.ticket.key, EventKind::Revoked);
                }
                RevokeStep::Settled(request, verdict)
            }
            LedgerRoute::Ended => RevokeStep::Settled(request, RevokeVerdict::HomeEnded),
            LedgerRoute::At(home) => {
                pipe.send(&home, revoke_message(&request, &claim_id));
                let deadline = context.now + context.options.home_timeout;
                let retry = context.now + context.options.home_retry_interval;
                pipe.timers.set(retry, TimerKey::Revoke(claim_id.attempt));
                let pending = PendingReply { recipient: home, deadline, item: request };
                self.revocations.insert(claim_id.attempt, pending);
                RevokeStep::Waiting
            }
        }
    }

    /// Handles a home's verdict on a revocation.
    pub(crate) fn on_revoke_reply(
        &mut self,
        attempt: u64,
        verdict: RevokeVerdict,
        pipe: &mut FlowPipe<'_>,
    ) -> RevokeStep {
        let Some(pending) = self.revocations.take(attempt) else {
            return RevokeStep::Waiting;
        };
        if let RevokeVerdict::Moved(successor) = verdict {
            pipe.send(&successor, revoke_message(&pending.item, &self.claim_id(attempt)));
            self.revocations.insert(attempt, PendingReply { recipient: successor, ..pending });
            return RevokeStep::Waiting;
        }
        RevokeStep::Settled(pending.item, verdict)
    }

    /// Resends a revocation, or settles it as [`RevokeVerdict::HomeEnded`] at its deadline.
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
            return RevokeStep::Settled(pending.item, RevokeVerdict::HomeEnded);
        }
        pipe.send(&pending.recipient, revoke_message(&pending.item, &self.claim_id(attempt)));
        pipe.timers
            .set(context.now + context.options.home_retry_interval, TimerKey::Revoke(attempt));
        self.revocations.insert(attempt, pending);
        RevokeStep::Waiting
    }

    /// Answers another core's claim on a ledger kept here.
    pub(crate) fn serve_claim(
        &mut self,
        context: &FlowContext<'_>,
        from: &HomeAddress,
        ticket: &DispatchTicket,
        claim_id: &ClaimId,
        pipe: &mut FlowPipe<'_>,
    ) {
        let verdict = self.ledgers.claim(context.now, ticket, claim_id);
        if verdict == ClaimVerdict::Granted {
            pipe.event(&ticket.key, EventKind::Granted { claimer: claim_id.claimer.clone() });
        }
        pipe.send(from, TrafficMessage::ClaimReply { attempt: claim_id.attempt, verdict });
    }

    /// Answers another core's revocation on a ledger kept here.
    pub(crate) fn serve_revoke(
        &mut self,
        context: &FlowContext<'_>,
        from: &HomeAddress,
        ticket: &DispatchTicket,
        claim_id: &ClaimId,
        pipe: &mut FlowPipe<'_>,
    ) {
        let verdict = self.ledgers.revoke(context.now, ticket, claim_id);
        if verdict == RevokeVerdict::Revoked {
            pipe.event(&ticket.key, EventKind::Revoked);
        }
        pipe.send(from, TrafficMessage::RevokeReply { attempt: claim_id.attempt, verdict });
    }

    /// Returns the claims and revocations sent to an incarnation that has ended.
    pub(crate) fn orphaned(&self, context: &FlowContext<'_>) -> (Vec<u64>, Vec<u64>) {
        let replaced = |home: &HomeAddress| context.is_replaced(home);
        (self.claims.attempts_to(replaced), self.revocations.attempts_to(replaced))
    }

    /// Settles a claim whose home has ended.
    pub(crate) fn abort_claim(&mut self, attempt: u64) -> ClaimStep {
        let pending = self.claims.take(attempt);
        pending.map_or(ClaimStep::Waiting, |pending| settle(pending.item, ClaimVerdict::HomeEnded))
    }

    /// Settles a revocation whose home has ended.
    pub(crate) fn abort_revoke(&mut self, attempt: u64) -> RevokeStep {
        let pending = self.revocations.take(attempt);
        pending.map_or(RevokeStep::Waiting, |pending| {
            RevokeStep::Settled(pending.item, RevokeVerdict::HomeEnded)
        })
    }

    /// Returns whether no claim or revocation is outstanding.
    pub(crate) fn is_idle(&self) -> bool {
        self.claims.is_empty() && self.revocations.is_empty()
    }

    /// Returns the number of outstanding claims and revocations.
    pub(crate) fn outstanding_count(&self) -> usize {
        self.claims.len() + self.revocations.len()
    }

    /// Takes over a ledger. Returns whether this core keeps it now.
    ///
    /// `false` if this core's own ledger is handed over, or if it no longer keeps a ledger that it
    /// inherited before.
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
        self.ledgers.evict_expired(now);
    }

    /// Returns the number of tickets recorded as claimed or revoked.
    pub(crate) fn entry_count(&self) -> usize {
        self.ledgers.entry_count()
    }

    fn route(&self, context: &FlowContext<'_>, home: &HomeAddress) -> LedgerRoute {
        let successor = context.fleet.moved.get(home);
        self.ledgers.route(home, successor, context.is_replaced(home))
    }

    fn claim_id(&self, attempt: u64) -> ClaimId {
        ClaimId { claimer: self.address.clone(), attempt }
    }
}

fn settle(flow: RequestFlow<Placed>, verdict: ClaimVerdict) -> ClaimStep {
    match flow.settle(verdict) {
        Ok(flow) => ClaimStep::Granted(flow),
        Err(refused) => ClaimStep::Refused(refused.0, refused.1),
    }
}

fn claim_message(flow: &RequestFlow<Placed>) -> TrafficMessage {
    TrafficMessage::Claim { ticket: flow.ticket().clone(), claim_id: flow.claim_id().clone() }
}

fn revoke_message(request: &RevokeRequest, claim_id: &ClaimId) -> TrafficMessage {
    TrafficMessage::Revoke { ticket: request.ticket.clone(), claim_id: claim_id.clone() }
}
