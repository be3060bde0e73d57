use std::hash::{Hash, Hasher};

use kwg_decide::{ClaimFailure, LedgerOptions, LedgerRoute, PendingClaim};
use kwg_model::{
    AccountName, ClaimId, ClaimVerdict, DispatchTicket, HomeAddress, MonoTime, RevokeVerdict,
};

use crate::model_message::{MessageBody, ModelMessage};
use crate::model_router::{ModelRouter, RequestStage};
use crate::{EventBudget, ModelState, TicketVariant};

/// Model of the ticket protocol: routers, tickets, messages in flight, and reported outcomes.
#[derive(Debug, Clone)]
pub struct TicketModel {
    variant: TicketVariant,
    budget: EventBudget,
    now: MonoTime,
    tickets: Vec<DispatchTicket>,
    routers: Vec<ModelRouter>,
    messages: Vec<ModelMessage>,
    /// Home and successor of the first router that handed over its ledgers.
    moved: Option<(HomeAddress, HomeAddress)>,
    /// Number of dispatches under each ticket, and whether 'not run' was reported for it.
    dispatches: Vec<u8>,
    reported_not_run: Vec<bool>,
    step: String,
}

/// States are equal regardless of the step that led to them.
impl PartialEq for TicketModel {
    fn eq(&self, other: &Self) -> bool {
        self.budget == other.budget
            && self.now == other.now
            && self.routers == other.routers
            && self.messages == other.messages
            && self.moved == other.moved
            && self.dispatches == other.dispatches
            && self.reported_not_run == other.reported_not_run
    }
}

impl Eq for TicketModel {}

impl Hash for TicketModel {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.budget, self.now, &self.routers, &self.messages).hash(state);
        (&self.moved, &self.dispatches, &self.reported_not_run).hash(state);
    }
}

impl TicketModel {
    /// Creates a model of `routers` routers, the first of which has minted `tickets` tickets.
    #[must_use]
    pub fn new(
        variant: TicketVariant,
        routers: usize,
        tickets: usize,
        budget: EventBudget,
    ) -> Self {
        let now = MonoTime::from_millis(1);
        let mut routers: Vec<ModelRouter> =
            (0..routers).map(|number| ModelRouter::new(number, 1, tickets)).collect();
        let account = AccountName::new("bank").expect("a valid name");
        let minted = routers[0].ledgers.mint(now, &account, tickets);
        let minted = minted.and_then(Result::ok).expect("an empty ledger is below its limit");
        Self {
            variant,
            budget,
            now,
            tickets: minted,
            routers,
            messages: Vec::new(),
            moved: None,
            dispatches: vec![0; tickets],
            reported_not_run: vec![false; tickets],
            step: "start".to_owned(),
        }
    }

    fn apply(&self, step: String, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.step = step;
        change(&mut next);
        next.drop_ineffective_messages();
        next.messages.sort();
        next
    }

    /// Drops messages to ended runs and replies no longer awaited, to merge equivalent states.
    fn drop_ineffective_messages(&mut self) {
        let (routers, variant) = (&self.routers, self.variant);
        let is_awaited = |stage: &RequestStage, attempt: u64| {
            *stage == RequestStage::Claiming { attempt }
                || *stage == RequestStage::Revoking { attempt }
        };
        self.messages.retain(|message| {
            let router = routers.iter().find(|router| router.address == message.to);
            let Some(router) = router else { return false };
            match &message.body {
                MessageBody::ClaimReply { ticket, attempt, .. } => {
                    variant == TicketVariant::LateGrantAccepted
                        || is_awaited(&router.stages[*ticket], *attempt)
                }
                MessageBody::RevokeReply { ticket, attempt, .. } => {
                    is_awaited(&router.stages[*ticket], *attempt)
                }
                _ => true,
            }
        });
    }

    fn send(&mut self, from: usize, to: HomeAddress, body: MessageBody) {
        self.messages.push(ModelMessage { from: self.routers[from].address.clone(), to, body });
    }

    fn route(&self, router: usize, ticket: usize) -> LedgerRoute {
        let home = &self.tickets[ticket].key.home;
        let known = self.moved.as_ref().filter(|(moved, _)| moved == home);
        let current = self.routers.iter().find(|other| other.address.instance == home.instance);
        let is_replaced = current.is_some_and(|other| other.address != *home);
        let successor = known.map(|(_, successor)| successor);
        self.routers[router].ledgers.route(home, successor, is_replaced)
    }

    fn decide_claim(&mut self, router: usize, ticket: usize, claim_id: &ClaimId) -> ClaimVerdict {
        let (now, ticket) = (self.now, self.tickets[ticket].clone());
        let ledgers = &mut self.routers[router].ledgers;
        match self.variant {
            TicketVariant::GrantNotRecorded => ledgers.clone().claim(now, &ticket, claim_id),
            TicketVariant::GrantToAnyAttempt => match ledgers.claim(now, &ticket, claim_id) {
                ClaimVerdict::HeldBy(_) => ClaimVerdict::Granted,
                verdict => verdict,
            },
            _ => ledgers.claim(now, &ticket, claim_id),
        }
    }

    fn begin_claim(&mut self, router: usize, ticket: usize) {
        let attempt = self.routers[router].begin_attempt();
        self.routers[router].stages[ticket] = RequestStage::Claiming { attempt };
        match self.route(router, ticket) {
            LedgerRoute::Here => {
                let claim_id = self.routers[router].claim_id(attempt);
                let verdict = self.decide_claim(router, ticket, &claim_id);
                self.on_claim_verdict(router, ticket, attempt, verdict);
            }
            LedgerRoute::At(home) => {
                self.send(router, home, MessageBody::Claim { ticket, attempt });
            }
            LedgerRoute::Ended => {
                self.on_claim_verdict(router, ticket, attempt, ClaimVerdict::HomeEnded);
            }
        }
    }

    /// Settles a claim with [`PendingClaim`]; only a granted claim leads to a dispatch.
    fn on_claim_verdict(
        &mut self,
        router: usize,
        ticket: usize,
        attempt: u64,
        verdict: ClaimVerdict,
    ) {
        let is_awaited = self.routers[router].stages[ticket] == RequestStage::Claiming { attempt };
        let accepts_late = self.variant == TicketVariant::LateGrantAccepted;
        let is_known = attempt <= self.routers[router].last_attempt;
        if !is_awaited && (!accepts_late || !is_known) {
            return;
        }
        if let ClaimVerdict::Moved(successor) = verdict {
            return self.send(router, successor, MessageBody::Claim { ticket, attempt });
        }
        let key = self.tickets[ticket].key.clone();
        let pending = PendingClaim::begin(key, self.routers[router].claim_id(attempt));
        let settled = pending.settle(verdict);
        self.reported_not_run[ticket] |= matches!(settled, Err(ClaimFailure::Revoked));
        self.routers[router].stages[ticket] = match settled {
            Ok(_permit) => RequestStage::Claimed { attempt },
            Err(_) => RequestStage::Settled,
        };
    }

    /// Refuses a request by revoking its ticket; `attempt` is its abandoned or released claim.
    fn begin_revocation(&mut self, router: usize, ticket: usize, attempt: Option<u64>) {
        if self.variant == TicketVariant::RefusalWithoutRevocation {
            self.reported_not_run[ticket] = true;
            self.routers[router].stages[ticket] = RequestStage::Settled;
            return;
        }
        let attempt = attempt.unwrap_or_else(|| self.routers[router].begin_attempt());
        self.routers[router].stages[ticket] = RequestStage::Revoking { attempt };
        match self.route(router, ticket) {
            LedgerRoute::Here => {
                let claim_id = self.routers[router].claim_id(attempt);
                let (now, minted) = (self.now, self.tickets[ticket].clone());
                let verdict = self.routers[router].ledgers.revoke(now, &minted, &claim_id);
                self.on_revoke_verdict(router, ticket, attempt, verdict);
            }
            LedgerRoute::At(home) => {
                self.send(router, home, MessageBody::Revoke { ticket, attempt });
            }
            LedgerRoute::Ended => {
                self.on_revoke_verdict(router, ticket, attempt, RevokeVerdict::HomeEnded);
            }
        }
    }

    fn on_revoke_verdict(
        &mut self,
        router: usize,
        ticket: usize,
        attempt: u64,
        verdict: RevokeVerdict,
    ) {
        if self.routers[router].stages[ticket] != (RequestStage::Revoking { attempt }) {
            return;
        }
        if let RevokeVerdict::Moved(successor) = verdict {
            return self.send(router, successor, MessageBody::Revoke { ticket, attempt });
        }
        self.reported_not_run[ticket] |= verdict == RevokeVerdict::Revoked;
        self.routers[router].stages[ticket] = RequestStage::Settled;
    }

    fn deliver(&mut self, message: ModelMessage) {
        let index = self.routers.iter().position(|router| router.address == message.to);
        // A message to another run of the instance is not delivered.
        let Some(router) = index else { return };
        let from = message.from;
        match message.body {
            MessageBody::Claim { ticket, attempt } => {
                let claim_id = ClaimId { claimer: from.clone(), attempt };
                let verdict = self.decide_claim(router, ticket, &claim_id);
                self.send(router, from, MessageBody::ClaimReply { ticket, attempt, verdict });
            }
            MessageBody::ClaimReply { ticket, attempt, verdict } => {
                self.on_claim_verdict(router, ticket, attempt, verdict);
            }
            MessageBody::Revoke { ticket, attempt } => {
                let claim_id = ClaimId { claimer: from.clone(), attempt };
                let (now, minted) = (self.now, self.tickets[ticket].clone());
                let verdict = self.routers[router].ledgers.revoke(now, &minted, &claim_id);
                self.send(router, from, MessageBody::RevokeReply { ticket, attempt, verdict });
            }
            MessageBody::RevokeReply { ticket, attempt, verdict } => {
                self.on_revoke_verdict(router, ticket, attempt, verdict);
            }
            MessageBody::Inherit { export } => {
                self.routers[router].ledgers.inherit(self.now, export);
            }
        }
    }

    fn hand_over(&mut self, router: usize, successor: usize) {
        let to = self.routers[successor].address.clone();
        let from = self.routers[router].address.clone();
        let exports = self.routers[router].ledgers.hand_over(self.now, &to);
        self.routers[router].handed_over = true;
        for export in exports {
            if self.variant == TicketVariant::TwoSuccessors {
                let other = self.routers[(successor + 1) % self.routers.len()].address.clone();
                self.send(router, other, MessageBody::Inherit { export: export.clone() });
            }
            self.send(router, to.clone(), MessageBody::Inherit { export });
        }
        self.moved.get_or_insert((from, to));
    }

    fn crash(&mut self, router: usize) {
        let old = &self.routers[router];
        let incarnation = old.address.incarnation + 1;
        let mut restarted = ModelRouter::new(router, incarnation, self.tickets.len());
        if self.variant == TicketVariant::NoIncarnation {
            // The restarted home has its previous address and has minted the same sequence numbers.
            restarted = ModelRouter::new(router, old.address.incarnation, self.tickets.len());
            if router == 0 {
                let account = self.tickets[0].account.clone();
                drop(restarted.ledgers.mint(self.now, &account, self.tickets.len()));
            }
        }
        self.routers[router] = restarted;
    }

    fn router_steps(&self, router: usize, ticket: usize, next: &mut Vec<Self>) {
        let name = format!("r{router} t{ticket}");
        match &self.routers[router].stages[ticket] {
            RequestStage::Idle | RequestStage::Settled if self.budget.submissions > 0 => {
                next.push(self.apply(format!("{name}: submitted"), |model| {
                    model.budget.submissions -= 1;
                    model.routers[router].stages[ticket] = RequestStage::Queued;
                }));
            }
            RequestStage::Queued => {
                next.push(self.apply(format!("{name}: claims"), |model| {
                    model.begin_claim(router, ticket);
                }));
                next.push(self.apply(format!("{name}: shed"), |model| {
                    model.begin_revocation(router, ticket, None);
                }));
            }
            RequestStage::Claiming { attempt } if self.budget.timeouts > 0 => {
                let attempt = *attempt;
                next.push(self.apply(format!("{name}: abandons claim {attempt}"), |model| {
                    model.budget.timeouts -= 1;
                    model.begin_revocation(router, ticket, Some(attempt));
                }));
            }
            RequestStage::Claimed { attempt } => {
                let attempt = *attempt;
                next.push(self.apply(format!("{name}: dispatches"), |model| {
                    model.dispatches[ticket] += 1;
                    model.routers[router].stages[ticket] = RequestStage::Dispatched;
                }));
                next.push(self.apply(format!("{name}: releases claim {attempt}"), |model| {
                    model.begin_revocation(router, ticket, Some(attempt));
                }));
            }
            RequestStage::Revoking { .. } if self.budget.timeouts > 0 => {
                next.push(self.apply(format!("{name}: outcome unknown"), |model| {
                    model.budget.timeouts -= 1;
                    model.routers[router].stages[ticket] = RequestStage::Settled;
                }));
            }
            _ => {}
        }
    }

    fn fault_steps(&self, next: &mut Vec<Self>) {
        for router in 0..self.routers.len() {
            if self.budget.crashes > 0 {
                next.push(self.apply(format!("r{router}: crashes and restarts"), |model| {
                    model.budget.crashes -= 1;
                    model.crash(router);
                }));
            }
            if self.budget.hand_overs > 0 && !self.routers[router].handed_over {
                let successor = (router + 1) % self.routers.len();
                let step = format!("r{router}: hands over to r{successor}");
                next.push(self.apply(step, |model| {
                    model.budget.hand_overs -= 1;
                    model.hand_over(router, successor);
                }));
            }
        }
        if self.budget.clock_steps > 0 {
            let LedgerOptions { lifetime, retention, .. } = LedgerOptions::default();
            next.push(self.apply("time advances".to_owned(), |model| {
                model.budget.clock_steps -= 1;
                model.now = model.now + lifetime.max(retention) + std::time::Duration::from_secs(1);
                let now = model.now;
                model.routers.iter_mut().for_each(|router| router.ledgers.evict_expired(now));
            }));
        }
    }
}

impl ModelState for TicketModel {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for router in 0..self.routers.len() {
            for ticket in 0..self.tickets.len() {
                self.router_steps(router, ticket, &mut next);
            }
        }
        for (index, message) in self.messages.iter().enumerate() {
            let (to, body) = (&message.to.instance, &message.body);
            next.push(self.apply(format!("{to} receives {body:?}"), |model| {
                let message = model.messages.remove(index);
                model.deliver(message);
            }));
            if self.budget.duplicates > 0 {
                next.push(self.apply(
                    format!("{to} receives {body:?}, a duplicate stays in flight"),
                    |model| {
                        model.budget.duplicates -= 1;
                        model.deliver(message.clone());
                    },
                ));
            }
        }
        self.fault_steps(&mut next);
        next
    }

    fn violation(&self) -> Option<String> {
        for (ticket, dispatches) in self.dispatches.iter().enumerate() {
            if *dispatches > 1 {
                return Some(format!("t{ticket} was dispatched {dispatches} times"));
            }
            if *dispatches > 0 && self.reported_not_run[ticket] {
                return Some(format!("t{ticket} was dispatched although 'not run' was reported"));
            }
        }
        None
    }

    fn step_name(&self) -> String {
        self.step.clone()
    }
}
