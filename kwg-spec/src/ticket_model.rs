use std::hash::{Hash, Hasher};

use kwg_decide::{ClaimFailure, LedgerOptions, LedgerRoute, PendingClaim};
use kwg_model::{
    AccountName, BurnVerdict, ClaimStub, ClaimVerdict, DispatchTicket, HomeAddress, MonoTime,
};

use crate::world_message::{MessageBody, WorldMessage};
use crate::world_router::{RouterWork, WorldRouter};
use crate::{SpecWorld, TicketVariant, WorldBudget};

/// Routers, tickets, messages on their way, and what has been done with each ticket.
#[derive(Debug, Clone)]
pub struct TicketWorld {
    variant: TicketVariant,
    budget: WorldBudget,
    now: MonoTime,
    tickets: Vec<DispatchTicket>,
    routers: Vec<WorldRouter>,
    messages: Vec<WorldMessage>,
    /// Where the first ledger went, if it was handed over.
    moved: Option<(HomeAddress, HomeAddress)>,
    dispatches: Vec<u8>,
    said_not_run: Vec<bool>,
    step: String,
}

/// Two states are the same whatever step led to them.
impl PartialEq for TicketWorld {
    fn eq(&self, other: &Self) -> bool {
        self.budget == other.budget
            && self.now == other.now
            && self.routers == other.routers
            && self.messages == other.messages
            && self.moved == other.moved
            && self.dispatches == other.dispatches
            && self.said_not_run == other.said_not_run
    }
}

impl Eq for TicketWorld {}

impl Hash for TicketWorld {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.budget, self.now, &self.routers, &self.messages).hash(state);
        (&self.moved, &self.dispatches, &self.said_not_run).hash(state);
    }
}

impl TicketWorld {
    /// A world of `routers` routers, the first of which has minted `tickets` tickets.
    #[must_use]
    pub fn new(
        variant: TicketVariant,
        routers: usize,
        tickets: usize,
        budget: WorldBudget,
    ) -> Self {
        let now = MonoTime::from_millis(1);
        let mut routers: Vec<WorldRouter> =
            (0..routers).map(|number| WorldRouter::new(number, 1, tickets)).collect();
        let account = AccountName::new("bank").expect("a valid name");
        let minted = routers[0].shelf.mint(now, &account, tickets);
        let minted = minted.and_then(Result::ok).expect("an empty ledger has room");
        Self {
            variant,
            budget,
            now,
            tickets: minted,
            routers,
            messages: Vec::new(),
            moved: None,
            dispatches: vec![0; tickets],
            said_not_run: vec![false; tickets],
            step: "start".to_owned(),
        }
    }

    fn after(&self, step: String, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.step = step;
        change(&mut next);
        next.drop_dead_messages();
        next.messages.sort();
        next
    }

    /// Drops messages whose delivery would change nothing, ever: for a run that has ended, or
    /// replies to attempts that nobody waits for. That merges states which behave alike.
    fn drop_dead_messages(&mut self) {
        let (routers, variant) = (&self.routers, self.variant);
        let is_awaited = |work: &RouterWork, attempt: u64| {
            *work == RouterWork::Claiming { attempt } || *work == RouterWork::Burning { attempt }
        };
        self.messages.retain(|message| {
            let router = routers.iter().find(|router| router.address == message.to);
            let Some(router) = router else { return false };
            match &message.body {
                MessageBody::ClaimReply { ticket, attempt, .. } => {
                    variant == TicketVariant::LateGrantCounts
                        || is_awaited(&router.work[*ticket], *attempt)
                }
                MessageBody::BurnReply { ticket, attempt, .. } => {
                    is_awaited(&router.work[*ticket], *attempt)
                }
                _ => true,
            }
        });
    }

    fn send(&mut self, from: usize, to: HomeAddress, body: MessageBody) {
        self.messages.push(WorldMessage { from: self.routers[from].address.clone(), to, body });
    }

    /// Where a router finds the ledger of a ticket.
    fn route(&self, router: usize, ticket: usize) -> LedgerRoute {
        let home = &self.tickets[ticket].key.home;
        let known = self.moved.as_ref().filter(|(moved, _)| moved == home);
        let current = self.routers.iter().find(|other| other.address.instance == home.instance);
        let is_replaced = current.is_some_and(|other| other.address != *home);
        let successor = known.map(|(_, successor)| successor);
        self.routers[router].shelf.route(home, successor, is_replaced)
    }

    fn decide_claim(&mut self, router: usize, ticket: usize, stub: &ClaimStub) -> ClaimVerdict {
        let (now, ticket) = (self.now, self.tickets[ticket].clone());
        let shelf = &mut self.routers[router].shelf;
        match self.variant {
            TicketVariant::CheckedNotTaken => shelf.clone().claim(now, &ticket, stub),
            TicketVariant::GrantToAnyAttempt => match shelf.claim(now, &ticket, stub) {
                ClaimVerdict::HeldBy(_) => ClaimVerdict::Granted,
                verdict => verdict,
            },
            _ => shelf.claim(now, &ticket, stub),
        }
    }

    fn begin_claim(&mut self, router: usize, ticket: usize) {
        let attempt = self.routers[router].begin_attempt();
        self.routers[router].work[ticket] = RouterWork::Claiming { attempt };
        match self.route(router, ticket) {
            LedgerRoute::Here => {
                let stub = self.routers[router].stub(attempt);
                let verdict = self.decide_claim(router, ticket, &stub);
                self.on_claim_verdict(router, ticket, attempt, verdict);
            }
            LedgerRoute::At(home) => {
                self.send(router, home, MessageBody::Claim { ticket, attempt });
            }
            LedgerRoute::Gone => {
                self.on_claim_verdict(router, ticket, attempt, ClaimVerdict::HomeGone);
            }
        }
    }

    /// Settles a claim through the real type: only its right leads to a dispatch.
    fn on_claim_verdict(
        &mut self,
        router: usize,
        ticket: usize,
        attempt: u64,
        verdict: ClaimVerdict,
    ) {
        let awaited = self.routers[router].work[ticket] == RouterWork::Claiming { attempt };
        let late_counts = self.variant == TicketVariant::LateGrantCounts;
        let is_known = attempt <= self.routers[router].next_attempt;
        if !awaited && (!late_counts || !is_known) {
            return;
        }
        if let ClaimVerdict::Moved(successor) = verdict {
            return self.send(router, successor, MessageBody::Claim { ticket, attempt });
        }
        let key = self.tickets[ticket].key.clone();
        let pending = PendingClaim::begin(key, self.routers[router].stub(attempt));
        let settled = pending.settle(verdict);
        self.said_not_run[ticket] |= matches!(settled, Err(ClaimFailure::Burned));
        self.routers[router].work[ticket] = match settled {
            Ok(_right) => RouterWork::Claimed { attempt },
            Err(_) => RouterWork::Settled,
        };
    }

    /// Refuses a request; `attempt` names a claim of this router that was given up unused.
    fn begin_burn(&mut self, router: usize, ticket: usize, attempt: Option<u64>) {
        if self.variant == TicketVariant::RefusalWithoutBurn {
            self.said_not_run[ticket] = true;
            self.routers[router].work[ticket] = RouterWork::Settled;
            return;
        }
        let attempt = attempt.unwrap_or_else(|| self.routers[router].begin_attempt());
        self.routers[router].work[ticket] = RouterWork::Burning { attempt };
        match self.route(router, ticket) {
            LedgerRoute::Here => {
                let stub = self.routers[router].stub(attempt);
                let (now, sealed) = (self.now, self.tickets[ticket].clone());
                let verdict = self.routers[router].shelf.burn(now, &sealed, &stub);
                self.on_burn_verdict(router, ticket, attempt, verdict);
            }
            LedgerRoute::At(home) => {
                self.send(router, home, MessageBody::Burn { ticket, attempt });
            }
            LedgerRoute::Gone => {
                self.on_burn_verdict(router, ticket, attempt, BurnVerdict::HomeGone);
            }
        }
    }

    fn on_burn_verdict(
        &mut self,
        router: usize,
        ticket: usize,
        attempt: u64,
        verdict: BurnVerdict,
    ) {
        if self.routers[router].work[ticket] != (RouterWork::Burning { attempt }) {
            return;
        }
        if let BurnVerdict::Moved(successor) = verdict {
            return self.send(router, successor, MessageBody::Burn { ticket, attempt });
        }
        self.said_not_run[ticket] |= verdict == BurnVerdict::Burned;
        self.routers[router].work[ticket] = RouterWork::Settled;
    }

    fn deliver(&mut self, message: WorldMessage) {
        let place = self.routers.iter().position(|router| router.address == message.to);
        // A message for another run of the instance is not taken.
        let Some(router) = place else { return };
        let from = message.from;
        match message.body {
            MessageBody::Claim { ticket, attempt } => {
                let stub = ClaimStub { claimer: from.clone(), attempt };
                let verdict = self.decide_claim(router, ticket, &stub);
                self.send(router, from, MessageBody::ClaimReply { ticket, attempt, verdict });
            }
            MessageBody::ClaimReply { ticket, attempt, verdict } => {
                self.on_claim_verdict(router, ticket, attempt, verdict);
            }
            MessageBody::Burn { ticket, attempt } => {
                let stub = ClaimStub { claimer: from.clone(), attempt };
                let (now, sealed) = (self.now, self.tickets[ticket].clone());
                let verdict = self.routers[router].shelf.burn(now, &sealed, &stub);
                self.send(router, from, MessageBody::BurnReply { ticket, attempt, verdict });
            }
            MessageBody::BurnReply { ticket, attempt, verdict } => {
                self.on_burn_verdict(router, ticket, attempt, verdict);
            }
            MessageBody::Inherit { export } => {
                self.routers[router].shelf.inherit(self.now, export);
            }
        }
    }

    fn hand_over(&mut self, router: usize, successor: usize) {
        let to = self.routers[successor].address.clone();
        let from = self.routers[router].address.clone();
        let exports = self.routers[router].shelf.hand_over(self.now, &to);
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
        let mut fresh = WorldRouter::new(router, incarnation, self.tickets.len());
        if self.variant == TicketVariant::NoIncarnation {
            // The restarted home has the old address and counts on from the old sequence.
            fresh = WorldRouter::new(router, old.address.incarnation, self.tickets.len());
            if router == 0 {
                let account = self.tickets[0].account.clone();
                drop(fresh.shelf.mint(self.now, &account, self.tickets.len()));
            }
        }
        self.routers[router] = fresh;
    }

    fn router_steps(&self, router: usize, ticket: usize, next: &mut Vec<Self>) {
        let name = format!("r{router} t{ticket}");
        match &self.routers[router].work[ticket] {
            RouterWork::Idle | RouterWork::Settled if self.budget.submissions > 0 => {
                next.push(self.after(format!("{name}: submitted"), |world| {
                    world.budget.submissions -= 1;
                    world.routers[router].work[ticket] = RouterWork::Queued;
                }));
            }
            RouterWork::Queued => {
                next.push(self.after(format!("{name}: claims"), |world| {
                    world.begin_claim(router, ticket);
                }));
                next.push(self.after(format!("{name}: shed"), |world| {
                    world.begin_burn(router, ticket, None);
                }));
            }
            RouterWork::Claiming { attempt } if self.budget.timeouts > 0 => {
                let attempt = *attempt;
                next.push(self.after(format!("{name}: gives claim {attempt} up"), |world| {
                    world.budget.timeouts -= 1;
                    world.begin_burn(router, ticket, Some(attempt));
                }));
            }
            RouterWork::Claimed { attempt } => {
                let attempt = *attempt;
                next.push(self.after(format!("{name}: dispatches"), |world| {
                    world.dispatches[ticket] += 1;
                    world.routers[router].work[ticket] = RouterWork::Dispatched;
                }));
                next.push(self.after(format!("{name}: releases claim {attempt}"), |world| {
                    world.begin_burn(router, ticket, Some(attempt));
                }));
            }
            RouterWork::Burning { .. } if self.budget.timeouts > 0 => {
                next.push(self.after(format!("{name}: outcome unknown"), |world| {
                    world.budget.timeouts -= 1;
                    world.routers[router].work[ticket] = RouterWork::Settled;
                }));
            }
            _ => {}
        }
    }

    fn fault_steps(&self, next: &mut Vec<Self>) {
        for router in 0..self.routers.len() {
            if self.budget.crashes > 0 {
                next.push(self.after(format!("r{router}: crashes, starts again"), |world| {
                    world.budget.crashes -= 1;
                    world.crash(router);
                }));
            }
            if self.budget.hand_overs > 0 && !self.routers[router].handed_over {
                let successor = (router + 1) % self.routers.len();
                let step = format!("r{router}: hands over to r{successor}");
                next.push(self.after(step, |world| {
                    world.budget.hand_overs -= 1;
                    world.hand_over(router, successor);
                }));
            }
        }
        if self.budget.clock_steps > 0 {
            let LedgerOptions { lifetime, retention, .. } = LedgerOptions::default();
            next.push(self.after("time passes".to_owned(), |world| {
                world.budget.clock_steps -= 1;
                world.now = world.now + lifetime.max(retention) + std::time::Duration::from_secs(1);
                let now = world.now;
                world.routers.iter_mut().for_each(|router| router.shelf.forget_old(now));
            }));
        }
    }
}

impl SpecWorld for TicketWorld {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for router in 0..self.routers.len() {
            for ticket in 0..self.tickets.len() {
                self.router_steps(router, ticket, &mut next);
            }
        }
        for (place, message) in self.messages.iter().enumerate() {
            let (to, body) = (&message.to.instance, &message.body);
            next.push(self.after(format!("{to} gets {body:?}"), |world| {
                let message = world.messages.remove(place);
                world.deliver(message);
            }));
            if self.budget.duplicates > 0 {
                next.push(self.after(
                    format!("{to} gets {body:?}, not for the last time"),
                    |world| {
                        world.budget.duplicates -= 1;
                        world.deliver(message.clone());
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
            if *dispatches > 0 && self.said_not_run[ticket] {
                return Some(format!("t{ticket} was dispatched, and 'not run' was said"));
            }
        }
        None
    }

    fn step_name(&self) -> String {
        self.step.clone()
    }
}
