//! Gateways that exchange digests as the gateway's control thread does, and targets that end when they run a
//! certain request, under virtual time.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use kwg_gate::{
    Admitted, AttemptEvidence, DomainMap, FinalOutcome, GateCore, GateSession, PlacementOutcome,
    PromptPart, Received, RequestDetails, RouteTable, SessionStep, TargetRegistry,
};
use kwg_model::MonoTime;

use crate::digest_node::{DigestNode, PeerMessage};
use crate::fleet_record::{CallerEnd, FleetRecord, SentRequest};
use crate::model_gateway::{ModelGateway, RunningRequest, WaitingRequest};
use crate::poison_site::{DEADLINE, ModelTarget, table};
use crate::store_model::SeededDraws;

/// Step of the virtual time.
const TICK_MS: u64 = 10;
/// Interval of digests.
const DIGEST_MS: u64 = 200;
/// Time of a message between two instances of a domain, and of different domains.
const TRANSIT_MS: (u64, u64) = (2, 15);
/// Time until a target that has ended is back.
const DOWN_MS: u64 = 3_000;
/// Time after which the registry has a change of a target.
const REGISTRY_MS: u64 = 60;
/// How often a waiting request is placed again.
const LOOK_MS: u64 = 50;

/// How a target ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetEnd {
    /// Its connections are reset.
    Reset,
    /// It falls silent, as with its machine; its entry lapses.
    Silent,
}

pub struct PoisonFleet {
    pub now_ms: u64,
    gateways: BTreeMap<String, ModelGateway>,
    addresses: BTreeMap<String, (SocketAddr, String)>,
    targets: Vec<ModelTarget>,
    registry: Arc<TargetRegistry>,
    registry_due: BTreeMap<u64, ()>,
    messages: BTreeMap<(u64, u64), (String, String, PeerMessage)>,
    next_message: u64,
    next_request: u64,
    pub draws: SeededDraws,
    /// Requests that end the target that runs them.
    pub poison: BTreeSet<u64>,
    /// Parts of prompts that end the target that begins to answer a request with one of them.
    pub poison_parts: BTreeSet<PromptPart>,
    /// Time from the first event of an answer to its end.
    pub answer_ms: u64,
    pub end: TargetEnd,
    /// Share of messages between instances that are lost.
    pub loss: f64,
    /// Domains that reach no other one.
    pub cut: BTreeSet<String>,
    pub record: FleetRecord,
    table: Arc<RouteTable>,
}

impl PoisonFleet {
    /// Starts `instances` gateways in `domains` domains, with `targets` targets of each service in all, and lets
    /// them find each other.
    pub fn start(domains: usize, instances: usize, targets: usize, seed: u64) -> Self {
        let mut addresses = BTreeMap::new();
        for index in 0..instances {
            let (domain, number) = (index % domains, index / domains);
            let (name, domain) = (format!("z{domain}-{number:03}"), format!("z{domain}"));
            let port = 2_000 + u16::try_from(index).expect("small");
            addresses.insert(name, (SocketAddr::from(([10, 0, 0, 1], port)), domain));
        }
        let mut fleet = Self {
            now_ms: 1_000,
            gateways: BTreeMap::new(),
            addresses,
            targets: ModelTarget::all(targets, domains),
            registry: Arc::default(),
            registry_due: BTreeMap::new(),
            messages: BTreeMap::new(),
            next_message: 0,
            next_request: 0,
            draws: SeededDraws::new(seed),
            poison: BTreeSet::new(),
            poison_parts: BTreeSet::new(),
            answer_ms: 0,
            end: TargetEnd::Reset,
            loss: 0.0,
            cut: BTreeSet::new(),
            record: FleetRecord::default(),
            table: Arc::new(table()),
        };
        fleet.publish_registry();
        let names: Vec<String> = fleet.names();
        names.iter().for_each(|name| fleet.restart(name));
        fleet.run_ms(4_000);
        fleet
    }

    pub fn names(&self) -> Vec<String> {
        self.addresses.keys().cloned().collect()
    }

    pub fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_ms)
    }

    /// Starts a gateway anew: it has its tables and the instances' addresses from the store.
    pub fn restart(&mut self, name: &str) {
        let (_, domain) = self.addresses[name].clone();
        let regions = self.addresses.values().map(|(_, of)| (of.clone(), "r".to_owned()));
        let domains = DomainMap { own: domain.clone(), regions: regions.collect() };
        let members = self.addresses.iter();
        let members =
            members.map(|(of, (address, domain))| (of.as_str(), *address, domain.as_str()));
        let node = DigestNode::new(name, &domain, self.now_ms, members);
        let phase = (self.draws.next() * DIGEST_MS as f64) as u64 / TICK_MS * TICK_MS;
        let mut gateway = ModelGateway::new(domains, node, phase, self.now());
        gateway.core.set_table(&self.table);
        gateway.core.set_registry(&self.registry);
        self.gateways.insert(name.to_owned(), gateway);
    }

    /// Kills a gateway.
    pub fn kill(&mut self, name: &str) {
        self.gateways.remove(name);
    }

    /// Whether a gateway lives.
    pub fn is_live(&self, name: &str) -> bool {
        self.gateways.contains_key(name)
    }

    /// The relays of all domains.
    pub fn relays(&self) -> Vec<String> {
        let now = self.now();
        let relays = self.gateways.iter().filter(|(_, gateway)| gateway.node.is_relay(now));
        relays.map(|(name, _)| name.clone()).collect()
    }

    pub fn core(&self, name: &str) -> &GateCore {
        &self.gateways[name].core
    }

    fn publish_registry(&mut self) {
        self.registry = Arc::new(ModelTarget::registry(&self.targets, self.now_ms, self.now()));
        for gateway in self.gateways.values_mut() {
            gateway.core.set_registry(&self.registry);
        }
    }

    /// Lets a caller send a request of this content to a gateway.
    pub fn request(&mut self, name: &str, route: &str, content: u64) {
        self.request_with(name, route, content, &[]);
    }

    /// The same with a prompt that has these parts.
    pub fn request_with(&mut self, name: &str, route: &str, content: u64, parts: &[PromptPart]) {
        self.next_request += 1;
        let now = self.now();
        let details = RequestDetails {
            id: format!("r{}", self.next_request),
            host: "h".to_owned(),
            path: route.to_owned(),
            key: None,
            parts: parts.to_vec(),
            tokens: None,
            arrived: now,
            deadline: now + DEADLINE,
            fingerprint: content,
        };
        let draw = self.draws.next();
        let Some(gateway) = self.gateways.get_mut(name) else { return };
        match GateSession::<Received>::new(details).admit(&mut gateway.core, draw, now) {
            Ok(session) => self.place(name, session, content),
            Err(outcome) => self.finish(content, outcome),
        }
    }

    fn finish(&mut self, content: u64, outcome: FinalOutcome) {
        let end = match outcome {
            FinalOutcome::Refused { reason, .. } => CallerEnd::Refused(reason),
            FinalOutcome::Unknown(_) => CallerEnd::Failed,
        };
        self.record.outcomes.push((self.now_ms, content, end));
    }

    fn place(&mut self, name: &str, session: GateSession<Admitted>, content: u64) {
        let (now, draw) = (self.now(), self.draws.next());
        let Some(gateway) = self.gateways.get_mut(name) else { return };
        match session.place(&mut gateway.core, draw, now) {
            PlacementOutcome::Placed(placed) => {
                let session = placed.dispatch();
                let key = session.placement().target;
                let Some(entry) = gateway.core.targets().entry(key) else { return };
                let id = entry.id.as_str().to_owned();
                let up = |target: &&ModelTarget| target.id == id && target.down_until.is_none();
                let Some(born) = self.targets.iter().find(up).map(|target| target.born) else {
                    let evidence = AttemptEvidence::NotSent;
                    let step = session.close(&mut gateway.core, evidence, now);
                    return self.follow(name, step, content);
                };
                gateway.core.targets_mut().begin_attempt(key, 0);
                let target = id.clone();
                let since = self.now_ms;
                gateway.running.push(RunningRequest {
                    session,
                    content,
                    target: id,
                    born,
                    since,
                    has_begun: false,
                });
                let (at, gateway) = (self.now_ms, name.to_owned());
                self.record.sent.push(SentRequest { at, content, gateway, target });
            }
            PlacementOutcome::Waiting(session, _) => {
                let look = self.now_ms + LOOK_MS;
                gateway.waiting.push(WaitingRequest { session, content, look });
            }
            PlacementOutcome::Refused(outcome) => self.finish(content, outcome),
        }
    }

    fn follow(&mut self, name: &str, step: SessionStep, content: u64) {
        match step {
            SessionStep::Retry(session) => self.place(name, session, content),
            SessionStep::Ended(outcome) => self.finish(content, outcome),
        }
    }

    /// Ends a target that runs `content`, which ends all that runs there.
    pub fn end_target(&mut self, id: &str, content: u64) {
        let down_until = self.now_ms + DOWN_MS;
        let Some(target) = self.targets.iter_mut().find(|target| target.id == id) else { return };
        if target.down_until.is_some() {
            return;
        }
        target.down_until = Some(down_until);
        self.record.ends.push((self.now_ms, content, id.to_owned()));
        if self.end == TargetEnd::Reset {
            self.break_connections(id, AttemptEvidence::Cut);
        }
    }

    /// Resets the connections to a target, which lives on.
    pub fn reset_connections(&mut self, id: &str) {
        self.break_connections(id, AttemptEvidence::Cut);
    }

    fn break_connections(&mut self, id: &str, evidence: AttemptEvidence) {
        let now = self.now();
        for name in self.names() {
            let Some(gateway) = self.gateways.get_mut(&name) else { continue };
            let running = std::mem::take(&mut gateway.running);
            let (ended, rest) = running.into_iter().partition(|running| running.target == id);
            gateway.running = rest;
            let ended: Vec<RunningRequest> = ended;
            for running in ended {
                let Some(gateway) = self.gateways.get_mut(&name) else { continue };
                gateway.core.targets_mut().end_attempt(running.session.placement().target);
                let step = running.session.close(&mut gateway.core, evidence, now);
                self.follow(&name, step, running.content);
            }
        }
    }

    pub fn target_ids(&self, service: &str) -> Vec<String> {
        let live = self.targets.iter().filter(|target| target.service == service);
        live.filter(|target| target.down_until.is_none()).map(|target| target.id.clone()).collect()
    }

    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.deliver();
        self.return_targets();
        self.end_runs();
        self.look_again();
        let names: Vec<String> = self.gateways.keys().cloned().collect();
        for name in names {
            if (self.now_ms + self.gateways[&name].phase).is_multiple_of(DIGEST_MS) {
                self.broadcast(&name);
            }
        }
    }

    pub fn run_ms(&mut self, span_ms: u64) {
        (0..span_ms / TICK_MS).for_each(|_| self.tick());
    }

    fn return_targets(&mut self) {
        let (now_ms, mut is_changed) = (self.now_ms, false);
        for target in &mut self.targets {
            is_changed |= target.start_if_due(now_ms);
        }
        if is_changed {
            self.registry_due.insert(now_ms + REGISTRY_MS, ());
        }
        if self.registry_due.first_key_value().is_some_and(|(due, ())| *due <= now_ms) {
            self.registry_due.pop_first();
            self.publish_registry();
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let mut doomed: Vec<(String, u64)> = Vec::new();
        for gateway in self.gateways.values() {
            let due = gateway.running.iter().filter(|run| !run.has_begun && run.begins(now_ms));
            let poisoned = due.filter(|run| {
                let parts = &run.session.details().parts;
                self.poison.contains(&run.content)
                    || parts.iter().any(|part| self.poison_parts.contains(part))
            });
            doomed.extend(poisoned.map(|running| (running.target.clone(), running.content)));
        }
        doomed.iter().for_each(|(id, content)| self.end_target(id, *content));
        let now = self.now();
        let live: BTreeSet<(&str, u64)> = self
            .targets
            .iter()
            .filter(|target| target.down_until.is_none())
            .map(|target| (target.id.as_str(), target.born))
            .collect();
        let mut timed_out = Vec::new();
        for (name, gateway) in &mut self.gateways {
            let due = gateway.end_due(&live, now_ms, self.answer_ms);
            let answered = due.answered.into_iter();
            let outcomes = answered.map(|content| (now_ms, content, CallerEnd::Answered));
            self.record.outcomes.extend(outcomes);
            timed_out.extend(due.timed_out.into_iter().map(|run| (name.clone(), run)));
        }
        for (name, run) in timed_out {
            let Some(gateway) = self.gateways.get_mut(&name) else { continue };
            gateway.core.targets_mut().end_attempt(run.session.placement().target);
            let step = run.session.close(&mut gateway.core, AttemptEvidence::TimedOut, now);
            self.follow(&name, step, run.content);
        }
    }

    fn look_again(&mut self) {
        let now_ms = self.now_ms;
        for name in self.names() {
            let Some(gateway) = self.gateways.get_mut(&name) else { continue };
            let waiting = std::mem::take(&mut gateway.waiting);
            let (due, rest): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|waiting| waiting.look <= now_ms);
            gateway.waiting = rest;
            for waiting in due {
                self.place(&name, waiting.session, waiting.content);
            }
        }
    }

    fn broadcast(&mut self, name: &str) {
        let (now, draw) = (self.now(), self.draws.next());
        let Some(gateway) = self.gateways.get_mut(name) else { return };
        gateway.core.review_suspects(now);
        let digest = gateway.core.digest(gateway.node.run, now);
        gateway.core.drop_silent_peers(now);
        let out = gateway.node.broadcast(digest, draw, now);
        if let Some(instances) = gateway.node.changed_instances(now) {
            gateway.core.set_instances(&instances);
        }
        out.into_iter().for_each(|(to, message)| self.send(name, &to, message));
    }

    fn send(&mut self, from: &str, to: &str, message: PeerMessage) {
        let (Some((_, source)), Some((_, domain))) =
            (self.addresses.get(from), self.addresses.get(to))
        else {
            return;
        };
        let is_cut = source != domain && (self.cut.contains(source) || self.cut.contains(domain));
        let (near, far) = TRANSIT_MS;
        let due = self.now_ms + if source == domain { near } else { far };
        if is_cut || self.draws.next() < self.loss {
            return;
        }
        self.next_message += 1;
        self.messages.insert((due, self.next_message), (from.to_owned(), to.to_owned(), message));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let (from, to, message) = entry.remove();
            self.receive(&from, &to, message);
        }
    }

    fn receive(&mut self, from: &str, to: &str, message: PeerMessage) {
        let (now, address) = (self.now(), self.addresses[from].0);
        let Some(gateway) = self.gateways.get_mut(to) else { return };
        let received = gateway.node.receive((from, address), message, now);
        gateway.core.apply_ends(from, &received.ends, now);
        for (peer, digest) in received.digests {
            gateway.core.apply_digest(&peer, &digest, now);
        }
        if received.is_complete {
            gateway.core.complete_joining(now);
        }
        received.replies.into_iter().for_each(|(name, message)| self.send(to, &name, message));
    }
}
