//! Simulated traffic cores without sockets: the test controls messages, targets and time.

#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use kwg_flow::{
    AnswerEvent, CallerKey, CallerReply, DispatchOrder, EventKind, FlowEvent, ResumeOrder,
    TargetEvent, TrafficCore, TrafficIdentity, TrafficInput, TrafficMessage, TrafficOptions,
    TrafficOutput,
};
use kwg_model::{
    AccountName, ByteChunk, CallOutcome, CallSubmission, DispatchTicket, DomainName, FleetSnapshot,
    HomeAddress, InstanceName, MonoTime, PeerView, PoolKind, PoolName, PoolRow, RegionName,
    ResumeToken, RouteName, RouteRow, ServiceTier, TableSet, TargetName, TargetRow, TicketKey,
    VersionName,
};

/// The answer that the simulated engines return.
pub const ANSWER: &[u8] = b"the whole answer";

pub struct SimFleet {
    pub now: MonoTime,
    pub cores: BTreeMap<String, SimCore>,
    pub fleet: FleetSnapshot,
    /// Messages not delivered yet, with sender and recipient.
    pub messages: VecDeque<(HomeAddress, HomeAddress, TrafficMessage)>,
    /// Routers that no message reaches or leaves.
    pub partitioned: BTreeSet<String>,
    pub next_caller: u64,
    /// Bindings of idempotency keys in the table service.
    pub bindings: BTreeMap<String, DispatchTicket>,
    pub store_is_down: bool,
    bound: Vec<(String, u64, Option<DispatchTicket>)>,
}

pub struct SimCore {
    pub core: TrafficCore,
    pub address: HomeAddress,
    pub replies: Vec<(CallerKey, CallerReply)>,
    pub dispatched: Vec<DispatchOrder>,
    pub resumed: Vec<ResumeOrder>,
    pub cancelled: Vec<TicketKey>,
    pub events: Vec<FlowEvent>,
    pub inherited: Vec<HomeAddress>,
    pub drained: Option<bool>,
    pub crashes: Vec<u64>,
}

pub fn account() -> AccountName {
    AccountName::new("bank").expect("valid")
}

pub fn pool() -> PoolName {
    PoolName::new("graz").expect("valid")
}

pub fn tier(number: u8) -> ServiceTier {
    ServiceTier::new(number).expect("in range")
}

fn target(name: &str, limit_tokens: u64) -> TargetRow {
    TargetRow {
        name: TargetName::new(name).expect("valid"),
        address: "127.0.0.1:1".parse().expect("valid"),
        domain: DomainName::new("ost-graz").expect("valid"),
        region: RegionName::new("ost").expect("valid"),
        limit_tokens,
        limit_streams: 1_000,
        version: VersionName::new("v1").expect("valid"),
        heeds_fencing: true,
    }
}

/// Routes `patches` (tier 0) and `labels` (tier 3) to two engines, and `bookings` to a plain
/// service.
pub fn tables(limit_tokens: u64) -> TableSet {
    let version = VersionName::new("v1").expect("valid");
    let pool_row = |name: &str, kind, targets| {
        let name = PoolName::new(name).expect("valid");
        (
            name.clone(),
            PoolRow { name, kind, version: version.clone(), targets, version_move: None },
        )
    };
    let route = |name: &str, pool: &str, tier| {
        let (name, pool) =
            (RouteName::new(name).expect("valid"), PoolName::new(pool).expect("valid"));
        (name.clone(), RouteRow { name, pool, tier, deadline_ms: 10_000 })
    };
    let engines = vec![target("e1", limit_tokens), target("e2", limit_tokens)];
    TableSet {
        revision: 1,
        routes: BTreeMap::from([
            route("patches", "graz", tier(0)),
            route("labels", "graz", tier(3)),
            route("bookings", "desk", tier(1)),
        ]),
        pools: BTreeMap::from([
            pool_row("graz", PoolKind::Engine, engines),
            pool_row("desk", PoolKind::Service, vec![target("s1", limit_tokens)]),
        ]),
        ..TableSet::default()
    }
}

pub fn submission(route: &str) -> CallSubmission {
    CallSubmission {
        account: account(),
        route: RouteName::new(route).expect("valid"),
        ticket: None,
        idempotency_key: None,
        resume: None,
        offset: 0,
        tier: None,
        deadline: None,
        non_idempotent: false,
        join_only: false,
        max_tokens: 10,
        body: ByteChunk::from(b"a request".as_slice()),
    }
}

impl SimFleet {
    /// Creates routers `r1`, `r2` and so on, each in its own failure domain.
    pub fn new(routers: usize) -> Self {
        Self::with_options(routers, 1_000, TrafficOptions::default())
    }

    pub fn with_options(routers: usize, limit_tokens: u64, options: TrafficOptions) -> Self {
        let mut fleet = Self {
            now: MonoTime::from_millis(1),
            cores: BTreeMap::new(),
            fleet: FleetSnapshot { tables: tables(limit_tokens), ..FleetSnapshot::default() },
            messages: VecDeque::new(),
            partitioned: BTreeSet::new(),
            next_caller: 0,
            bindings: BTreeMap::new(),
            store_is_down: false,
            bound: Vec::new(),
        };
        for number in 1..=routers {
            fleet.add(&format!("r{number}"), 1, options);
        }
        fleet.publish();
        fleet
    }

    /// Starts an incarnation of a router.
    pub fn add(&mut self, name: &str, incarnation: u64, options: TrafficOptions) {
        let instance = InstanceName::new(name).expect("valid");
        let address = HomeAddress { instance: instance.clone(), incarnation, shard: 0 };
        let identity = TrafficIdentity {
            address: address.clone(),
            domain: DomainName::new(format!("domain-{name}")).expect("valid"),
            region: RegionName::new("ost").expect("valid"),
            shards: 1,
        };
        let view = PeerView {
            instance: instance.clone(),
            incarnation,
            shards: 1,
            domain: identity.domain.clone(),
            region: identity.region.clone(),
            serving: true,
        };
        let old = self.fleet.peers.insert(instance.clone(), view);
        if let Some(old) = old {
            self.fleet.ended.insert((instance, old.incarnation));
        }
        let core = SimCore {
            core: TrafficCore::new(identity, options, incarnation),
            address,
            replies: Vec::new(),
            dispatched: Vec::new(),
            resumed: Vec::new(),
            cancelled: Vec::new(),
            events: Vec::new(),
            inherited: Vec::new(),
            drained: None,
            crashes: Vec::new(),
        };
        self.cores.insert(name.to_owned(), core);
    }

    /// Stops a router without the others noticing.
    pub fn kill(&mut self, name: &str) {
        self.cores.remove(name);
    }

    /// Stops a router and removes it from the snapshots of the others.
    pub fn kill_and_evict(&mut self, name: &str) {
        self.kill(name);
        self.fleet.peers.remove(&InstanceName::new(name).expect("valid"));
        self.publish();
    }

    /// Publishes the current fleet snapshot to every router.
    pub fn publish(&mut self) {
        let names: Vec<String> = self.cores.keys().cloned().collect();
        for name in names {
            let mut view = self.fleet.clone();
            view.peers.remove(&InstanceName::new(&name).expect("valid"));
            self.input(&name, TrafficInput::Fleet(Arc::new(view)));
        }
    }

    /// Passes one input to a core and records its outputs.
    pub fn input(&mut self, name: &str, input: TrafficInput) {
        let Some(sim) = self.cores.get_mut(name) else { return };
        for output in sim.core.step(self.now, input) {
            match output {
                TrafficOutput::Reply { caller, reply } => sim.replies.push((caller, reply)),
                TrafficOutput::Send { to, message } => {
                    self.messages.push_back((sim.address.clone(), to, message));
                }
                TrafficOutput::Dispatch(order) => sim.dispatched.push(*order),
                TrafficOutput::Resume(order) => sim.resumed.push(order),
                TrafficOutput::Cancel { key, .. } => sim.cancelled.push(key),
                TrafficOutput::Event(event) => sim.events.push(event),
                TrafficOutput::Sample(_) => {}
                TrafficOutput::Crash { fingerprint, .. } => sim.crashes.push(fingerprint),
                TrafficOutput::BindKey { request, key, ticket } => {
                    // A key stays bound to its first ticket.
                    let bound = self.bindings.entry(key).or_insert(ticket).clone();
                    let ticket = (!self.store_is_down).then_some(bound);
                    self.bound.push((name.to_owned(), request, ticket));
                }
                TrafficOutput::Inherited { home } => sim.inherited.push(home),
                TrafficOutput::Drained { handed_over } => sim.drained = Some(handed_over),
            }
        }
    }

    /// Delivers messages and replies of the table service until none is left.
    pub fn deliver(&mut self) {
        self.deliver_messages();
        while let Some((name, request, ticket)) = self.bound.pop() {
            self.input(&name, TrafficInput::KeyBound { request, ticket });
            self.deliver_messages();
        }
    }

    fn deliver_messages(&mut self) {
        while let Some((from, to, message)) = self.messages.pop_front() {
            let (sender, name) = (from.instance.to_string(), to.instance.to_string());
            let reaches = !self.partitioned.contains(&name) && !self.partitioned.contains(&sender);
            let is_current = self.cores.get(&name).is_some_and(|sim| sim.address == to);
            if reaches && is_current {
                self.input(&name, TrafficInput::Peer { from, message });
            }
        }
    }

    /// Advances the clock in small steps, with a tick and delivery of all messages at each.
    pub fn advance(&mut self, span: Duration) {
        const STEP: Duration = Duration::from_millis(20);
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let names: Vec<String> = self.cores.keys().cloned().collect();
            names.iter().for_each(|name| self.input(name, TrafficInput::Tick));
            self.deliver();
        }
    }

    /// Returns a ticket minted by this router.
    pub fn ticket(&mut self, name: &str) -> DispatchTicket {
        self.tickets(name, 1, false).expect("below the ticket limit").remove(0)
    }

    pub fn tickets(
        &mut self,
        name: &str,
        count: u16,
        other_domain: bool,
    ) -> Option<Vec<DispatchTicket>> {
        let caller = self.caller();
        let account = account();
        self.input(name, TrafficInput::Mint { caller, account, count, other_domain });
        self.deliver();
        self.replies(name, caller).into_iter().find_map(|reply| match reply {
            CallerReply::Tickets(tickets) => Some(tickets),
            _ => None,
        })
    }

    pub fn caller(&mut self) -> CallerKey {
        self.next_caller += 1;
        CallerKey(self.next_caller)
    }

    /// Submits a request and delivers the resulting messages.
    pub fn submit(&mut self, name: &str, submission: CallSubmission) -> CallerKey {
        let caller = self.submit_only(name, submission);
        self.deliver();
        caller
    }

    pub fn submit_only(&mut self, name: &str, submission: CallSubmission) -> CallerKey {
        let caller = self.caller();
        let submission = Box::new(submission);
        self.input(name, TrafficInput::Submit { caller, submission });
        caller
    }

    /// Reports the complete answer of a dispatched or resumed stream.
    pub fn answer(&mut self, name: &str, key: &TicketKey) {
        self.send_part(name, key, 0, ANSWER);
        let length = ANSWER.len() as u64;
        self.report(name, key, TargetEvent::End { length });
    }

    pub fn send_part(&mut self, name: &str, key: &TicketKey, offset: u64, bytes: &[u8]) {
        self.report(name, key, TargetEvent::Part { offset, chunk: ByteChunk::from(bytes) });
    }

    pub fn report(&mut self, name: &str, key: &TicketKey, event: TargetEvent) {
        self.input(name, TrafficInput::Target { key: key.clone(), event });
        self.deliver();
    }

    pub fn replies(&self, name: &str, caller: CallerKey) -> Vec<CallerReply> {
        let replies = self.cores[name].replies.iter().filter(|(key, _)| *key == caller);
        replies.map(|(_, reply)| reply.clone()).collect()
    }

    /// Returns the bytes that a caller has received, and whether it has received the end.
    pub fn received(&self, name: &str, caller: CallerKey) -> (Vec<u8>, bool) {
        let (mut bytes, mut ended) = (Vec::new(), false);
        for reply in self.replies(name, caller) {
            match reply {
                CallerReply::Answer { event: AnswerEvent::Part { offset, chunk }, .. } => {
                    assert!(
                        offset >= bytes.len() as u64 || bytes.is_empty(),
                        "no byte is delivered twice"
                    );
                    bytes.extend_from_slice(&chunk);
                }
                CallerReply::Answer { event: AnswerEvent::End { .. }, .. } => ended = true,
                _ => {}
            }
        }
        (bytes, ended)
    }

    pub fn has_whole_answer(&self, name: &str, caller: CallerKey) -> bool {
        self.received(name, caller) == (ANSWER.to_vec(), true)
    }

    pub fn outcome(&self, name: &str, caller: CallerKey) -> Option<CallOutcome> {
        self.replies(name, caller).iter().find_map(CallerReply::outcome)
    }

    pub fn token(&self, name: &str, caller: CallerKey) -> Option<ResumeToken> {
        self.replies(name, caller).into_iter().find_map(|reply| match reply {
            CallerReply::Answer { event: AnswerEvent::Head(token), .. } => Some(token),
            _ => None,
        })
    }

    /// Returns the number of dispatches of a ticket by the routers that are running.
    pub fn dispatches(&self, key: &TicketKey) -> usize {
        let orders = self.cores.values().flat_map(|sim| &sim.dispatched);
        orders.filter(|order| order.permit.key() == key).count()
    }

    pub fn has_event(&self, name: &str, is_wanted: impl Fn(&EventKind) -> bool) -> bool {
        self.cores[name].events.iter().any(|event| is_wanted(&event.kind))
    }
}
