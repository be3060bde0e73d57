use kwg_decide::{ClaimFailure, LedgerOptions, LedgerRoute, LedgerShelf, MintError, TargetChoice};
use kwg_model::{
    AccountName, BurnVerdict, ClaimStub, ClaimVerdict, DispatchTicket, HomeAddress, LedgerExport,
    MonoTime, NotRunReason, ServiceTier, TicketKey,
};

use super::{FlowContext, FlowPipe};
use crate::desk::{HomeDesk, HomeWait, TimerKey};
use crate::{Admitted, Claimed, EventKind, Placed, RequestFlow, TrafficMessage};

/// Obtains the right to dispatch, or the certainty that nobody has it.
///
/// It asks the ticket's home, which may be this core, and answers for the ledgers kept here.
#[derive(Debug)]
pub(crate) struct ClaimFilter {
    address: HomeAddress,
    ledgers: LedgerShelf,
    claims: HomeDesk<RequestFlow<Placed>>,
    burns: HomeDesk<BurnRequest>,
    next_attempt: u64,
}

/// A request that is to be refused, once its ticket is burned.
#[derive(Debug, Clone)]
pub(crate) struct BurnRequest {
    pub(crate) ticket: DispatchTicket,
    pub(crate) reason: NotRunReason,
    pub(crate) tier: Option<ServiceTier>,
}

/// What became of a claim.
#[derive(Debug)]
pub(crate) enum ClaimStep {
    /// The request may be dispatched.
    Granted(RequestFlow<Claimed>),
    /// The home has been asked.
    Waiting,
    /// The home said no.
    Refused(ClaimFailure, RequestFlow<Admitted>),
    /// The home said nothing in time; the attempt is to be burned.
    TimedOut(RequestFlow<Admitted>, ClaimStub),
}

/// What became of a burning.
#[derive(Debug)]
pub(crate) enum BurnStep {
    /// The home has been asked.
    Waiting,
    /// The home gave its verdict, or was found to be gone.
    Settled(BurnRequest, BurnVerdict),
}

impl ClaimFilter {
    pub(crate) fn new(address: &HomeAddress, options: LedgerOptions) -> Self {
        Self {
            ledgers: LedgerShelf::new(address.clone(), options),
            address: address.clone(),
            claims: HomeDesk::default(),
            burns: HomeDesk::default(),
            next_attempt: 0,
        }
    }

    /// Mints tickets of this core; `None` once its ledger is handed over.
    pub(crate) fn mint(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        count: usize,
    ) -> Option<Result<Vec<DispatchTicket>, MintError>> {
        self.ledgers.mint(now, account, count)
    }

    /// The core that holds a ticket of a ledger kept here.
    pub(crate) fn holder(&self, key: &TicketKey) -> Option<&HomeAddress> {
        self.ledgers.holder(key)
    }

    /// A number never used before by this core.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Asks for the right to dispatch a request that has a target.
    pub(crate) fn apply(
        &mut self,
        context: &FlowContext<'_>,
        flow: RequestFlow<Admitted>,
        choice: TargetChoice,
        pipe: &mut FlowPipe<'_>,
    ) -> ClaimStep {
        let attempt = self.next_attempt();
        let flow = flow.place(choice, ClaimStub { claimer: self.address.clone(), attempt });
        self.ask_claim(context, flow, pipe)
    }

    fn ask_claim(
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
                // A paused home may come back: as long as the caller waits, so does the claim,
                // within a bound, since the request holds room at its target meanwhile.
                let deadline = flow.deadline().min(context.now + context.options.claim_timeout);
                pipe.timers.set(context.now + context.options.home_retry, TimerKey::Claim(attempt));
                self.claims.insert(attempt, HomeWait { asked: home, deadline, item: flow });
                ClaimStep::Waiting
            }
        }
    }

    /// Takes a home's verdict on a claim. A verdict on an attempt given up is void.
    pub(crate) fn on_claim_reply(
        &mut self,
        attempt: u64,
        verdict: ClaimVerdict,
        pipe: &mut FlowPipe<'_>,
    ) -> ClaimStep {
        let Some(wait) = self.claims.take(attempt) else {
            return ClaimStep::Waiting;
        };
        if let ClaimVerdict::Moved(successor) = verdict {
            pipe.send(&successor, claim_message(&wait.item));
            self.claims.insert(attempt, HomeWait { asked: successor, ..wait });
            return ClaimStep::Waiting;
        }
        settle(wait.item, verdict)
    }

    /// Sends a claim again, or gives it up.
    pub(crate) fn on_claim_timer(
        &mut self,
        context: &FlowContext<'_>,
        attempt: u64,
        pipe: &mut FlowPipe<'_>,
    ) -> ClaimStep {
        let Some(wait) = self.claims.take(attempt) else {
            return ClaimStep::Waiting;
        };
        if context.now >= wait.deadline {
            let (flow, stub) = wait.item.abandon();
            return ClaimStep::TimedOut(flow, stub);
        }
        pipe.send(&wait.asked, claim_message(&wait.item));
        pipe.timers.set(context.now + context.options.home_retry, TimerKey::Claim(attempt));
        self.claims.insert(attempt, wait);
        ClaimStep::Waiting
    }

    /// Asks that a ticket be burned. A stub of an unused claim burns that claim.
    pub(crate) fn burn(
        &mut self,
        context: &FlowContext<'_>,
        request: BurnRequest,
        stub: Option<ClaimStub>,
        pipe: &mut FlowPipe<'_>,
    ) -> BurnStep {
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
                BurnStep::Settled(request, verdict)
            }
            LedgerRoute::Gone => BurnStep::Settled(request, BurnVerdict::HomeGone),
            LedgerRoute::At(home) => {
                pipe.send(&home, burn_message(&request, &stub));
                let deadline = context.now + context.options.home_timeout;
                let retry = context.now + context.options.home_retry;
                pipe.timers.set(retry, TimerKey::Burn(stub.attempt));
                let wait = HomeWait { asked: home, deadline, item: request };
                self.burns.insert(stub.attempt, wait);
                BurnStep::Waiting
            }
        }
    }

    /// Takes a home's verdict on a burning.
    pub(crate) fn on_burn_reply(
        &mut self,
        attempt: u64,
        verdict: BurnVerdict,
        pipe: &mut FlowPipe<'_>,
    ) -> BurnStep {
        let Some(wait) = self.burns.take(attempt) else {
            return BurnStep::Waiting;
        };
        if let BurnVerdict::Moved(successor) = verdict {
            pipe.send(&successor, burn_message(&wait.item, &self.stub(attempt)));
            self.burns.insert(attempt, HomeWait { asked: successor, ..wait });
            return BurnStep::Waiting;
        }
        BurnStep::Settled(wait.item, verdict)
    }

    /// Sends a burning again, or gives it up: then nothing is known of the ticket.
    pub(crate) fn on_burn_timer(
        &mut self,
        context: &FlowContext<'_>,
        attempt: u64,
        pipe: &mut FlowPipe<'_>,
    ) -> BurnStep {
        let Some(wait) = self.burns.take(attempt) else {
            return BurnStep::Waiting;
        };
        if context.now >= wait.deadline {
            return BurnStep::Settled(wait.item, BurnVerdict::HomeGone);
        }
        pipe.send(&wait.asked, burn_message(&wait.item, &self.stub(attempt)));
        pipe.timers.set(context.now + context.options.home_retry, TimerKey::Burn(attempt));
        self.burns.insert(attempt, wait);
        BurnStep::Waiting
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

    /// Answers another core's burning on a ledger kept here.
    pub(crate) fn serve_burn(
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

    /// The claims and burnings that wait for a run of an instance that has ended.
    pub(crate) fn stranded(&self, context: &FlowContext<'_>) -> (Vec<u64>, Vec<u64>) {
        let replaced = |home: &HomeAddress| context.is_replaced(home);
        (self.claims.attempts_at(replaced), self.burns.attempts_at(replaced))
    }

    /// Settles a claim whose home has ended.
    pub(crate) fn strand_claim(&mut self, attempt: u64) -> ClaimStep {
        let wait = self.claims.take(attempt);
        wait.map_or(ClaimStep::Waiting, |wait| settle(wait.item, ClaimVerdict::HomeGone))
    }

    /// Settles a burning whose home has ended.
    pub(crate) fn strand_burn(&mut self, attempt: u64) -> BurnStep {
        let wait = self.burns.take(attempt);
        wait.map_or(BurnStep::Waiting, |wait| BurnStep::Settled(wait.item, BurnVerdict::HomeGone))
    }

    /// Whether no claim and no burning waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.claims.is_empty() && self.burns.is_empty()
    }

    /// How many claims and burnings wait.
    pub(crate) fn waiting(&self) -> usize {
        self.claims.len() + self.burns.len()
    }

    /// Takes a ledger over; `true` unless this core cannot answer for it.
    pub(crate) fn inherit(&mut self, now: MonoTime, export: LedgerExport) -> bool {
        let home = export.home.clone();
        self.ledgers.inherit(now, export) || self.ledgers.has_inherited(&home)
    }

    /// Gives every ledger kept here away.
    pub(crate) fn hand_over(&mut self, now: MonoTime, to: &HomeAddress) -> Vec<LedgerExport> {
        self.ledgers.hand_over(now, to)
    }

    /// Drops what is past retention.
    pub(crate) fn forget_old(&mut self, now: MonoTime) {
        self.ledgers.forget_old(now);
    }

    /// How many tickets are remembered as claimed or burned.
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

fn burn_message(request: &BurnRequest, stub: &ClaimStub) -> TrafficMessage {
    TrafficMessage::Burn { ticket: request.ticket.clone(), stub: stub.clone() }
}
