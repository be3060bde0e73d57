//! A fleet in virtual time in front of engines that tolerate few requests a second after their start. Reports are late,
//! links may be cut, and instances may start again.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use kwg_gate::{
    Admitted, ColdRule, Dispatched, GateCore, GateDigest, GateSession, InstanceMap,
    PlacementOutcome, QueuePosition, Received, ServiceName, TargetKey, TargetRegistry,
};
use kwg_model::MonoTime;

use super::cold_site::{
    COLD_MS, Draws, RETURNING, at, core, domain_name, entry, request, worst_second,
};

/// Engines of each other failure domain, which are warm.
const WARM: usize = 2;
/// Age of peers' reports on arrival.
const REPORT_DELAY_MS: u64 = 800;
const TICK_MS: u64 = 10;
const DIGEST_MS: u64 = 200;
/// Requests a second of all instances together: 8 to 11 for each, and more for each of a small fleet.
const FLEET_RATE: f64 = 320.0;
const LEAST_RATE: f64 = 10.0;
/// Instances of a failure domain from which they hear each other through its sum only, as in the product.
const RELAYED: usize = 16;
/// Requests that wait at all instances when the domain returns, and at least at each.
const FLEET_BACKLOG: usize = 900;
const LEAST_BACKLOG: usize = 5;
/// Time for which a request holds its slot: 1,800 tokens are read, and 27 are made.
const HOLD_MS: u64 = 120;
/// Silence after which instances are left out of the list of live ones; 20 s in the product, so that this is harder.
const FORGET_MS: u64 = 1_500;

type Waiter = (GateSession<Admitted>, QueuePosition, u64);

/// A request between its placement and its end.
struct Attempt {
    node: usize,
    run: u64,
    key: TargetKey,
    engine: String,
    session: GateSession<Dispatched>,
    send_ms: u64,
    end_ms: Option<u64>,
}

/// One instance.
struct Node {
    name: String,
    domain: String,
    run: u64,
    core: GateCore,
    registry: TargetRegistry,
    waiting: VecDeque<Waiter>,
    /// When the entries of the engines that return arrive here.
    entries_ms: Option<u64>,
    /// The group of instances that it hears.
    side: usize,
    instances: InstanceMap,
}

/// The fleet.
pub struct ColdFleet {
    now_ms: u64,
    nodes: Vec<Node>,
    attempts: Vec<Attempt>,
    /// Digests on their way: arrival, sender, its domain and side, whether it is a sum.
    digests: VecDeque<(u64, Rc<GateDigest>, String, String, usize, bool)>,
    /// Arrivals at each engine that has returned.
    pub arrivals: BTreeMap<String, Vec<u64>>,
    cut_ms: Option<u64>,
    returned_ms: Option<u64>,
    rule: Option<ColdRule>,
    draws: Draws,
    number: u64,
    sequence: u64,
    domains: usize,
}

impl ColdFleet {
    /// A fleet whose first domain has no engines yet. Without a rule nothing is limited.
    pub fn new(instances: usize, domains: usize, rule: Option<ColdRule>, seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: 10_000,
            nodes: Vec::new(),
            attempts: Vec::new(),
            digests: VecDeque::new(),
            arrivals: BTreeMap::new(),
            cut_ms: None,
            returned_ms: None,
            rule,
            draws: Draws(seed),
            number: 0,
            sequence: 2,
            domains,
        };
        for index in 0..instances {
            let (name, domain) = (format!("n-{index:03}"), domain_name(index % domains));
            let core = core(domains, &domain, rule);
            let instances = InstanceMap::default();
            fleet.nodes.push(Node {
                name,
                domain,
                run: 1,
                core,
                registry: TargetRegistry::default(),
                waiting: VecDeque::new(),
                entries_ms: None,
                side: 0,
                instances,
            });
        }
        for index in 0..instances {
            fleet.start(index);
        }
        fleet
    }

    /// Starts an instance: it reads the store, and has heard nobody.
    fn start(&mut self, index: usize) {
        let now = at(self.now_ms);
        let returned = self.returned_ms.is_some();
        let mut names: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for node in &self.nodes {
            names.entry(node.domain.clone()).or_default().push(node.name.clone());
        }
        let domains = self.domains;
        let node = &mut self.nodes[index];
        node.registry = TargetRegistry::default();
        let warm = (1..domains).flat_map(|domain| (0..WARM).map(move |i| entry(domain, i, 1, 0)));
        let cold = (0..RETURNING).filter(|_| returned).map(|i| entry(0, i, 2, COLD_MS));
        node.registry.replace(1, warm.chain(cold), now);
        node.core.set_registry(&Arc::new(node.registry.clone()));
        node.instances = InstanceMap { own: node.name.clone(), domains: names };
        node.core.set_instances(&node.instances);
        node.entries_ms = None;
    }

    /// Stops an instance and starts it again at once, without what it knew and had.
    pub fn restart(&mut self, index: usize) {
        let core = core(self.domains, &self.nodes[index].domain, self.rule);
        let node = &mut self.nodes[index];
        (node.core, node.run) = (core, node.run + 1);
        node.waiting.clear();
        self.start(index);
    }

    /// Cuts the links between groups of instances.
    pub fn cut(&mut self, side: impl Fn(usize) -> usize) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.side = side(index);
        }
        self.cut_ms = Some(self.now_ms);
    }

    /// Number of instances.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    /// The engines of the first domain come up, cold; their entries arrive up to a second later, and at each instance at
    /// another time. Requests wait everywhere.
    pub fn return_domain(&mut self) {
        self.returned_ms = Some(self.now_ms);
        for index in 0..self.nodes.len() {
            self.nodes[index].entries_ms = Some(self.now_ms + self.draws.millis(1_000));
            for _ in 0..(FLEET_BACKLOG / self.nodes.len()).max(LEAST_BACKLOG) {
                self.arrive(index);
            }
        }
    }

    /// Runs for a time.
    pub fn run_ms(&mut self, span: u64) {
        let end = self.now_ms + span;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            self.apply_entries();
            self.end_attempts();
            let own_rate = (FLEET_RATE / self.nodes.len() as f64).max(LEAST_RATE);
            for index in 0..self.nodes.len() {
                if self.draws.next() < own_rate * TICK_MS as f64 / 1e3 {
                    self.arrive(index);
                }
            }
            self.deliver_digests();
            if self.now_ms.is_multiple_of(DIGEST_MS) {
                self.send_digests();
                (0..self.nodes.len()).for_each(|index| self.wake(index));
            }
        }
    }

    fn apply_entries(&mut self) {
        let now = at(self.now_ms);
        for node in &mut self.nodes {
            if node.entries_ms.is_some_and(|due| due <= self.now_ms) {
                node.entries_ms = None;
                for mut engine in (0..RETURNING).map(|index| entry(0, index, 2, COLD_MS)) {
                    engine.cold.sequence = self.sequence;
                    node.registry.apply(2, &engine.id.clone(), Some(engine), now);
                }
                node.core.set_registry(&Arc::new(node.registry.clone()));
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        self.number += 1;
        let now = at(self.now_ms);
        let details = request(self.number, now);
        let core = &mut self.nodes[index].core;
        let session = GateSession::<Received>::new(details).admit(core, 0.5, now);
        self.place(index, session.expect("admitted"));
    }

    fn place(&mut self, index: usize, session: GateSession<Admitted>) {
        let (now, draw) = (at(self.now_ms), self.draws.next());
        let node = &mut self.nodes[index];
        match session.place(&mut node.core, draw, now) {
            PlacementOutcome::Placed(placed) => {
                let session = placed.dispatch();
                let key = session.placement().target;
                let engine = node.core.targets().entry(key).expect("known").id.to_string();
                node.core.targets_mut().begin_attempt(key, 0);
                // The connection may have to be opened.
                let send_ms = self.now_ms + self.draws.millis(30);
                let run = node.run;
                self.attempts.push(Attempt {
                    node: index,
                    run,
                    key,
                    engine,
                    session,
                    send_ms,
                    end_ms: None,
                });
            }
            PlacementOutcome::Waiting(session, until) => {
                let position = session.enter_queue(node.core.waiting_mut());
                let until = until.since(MonoTime::ZERO).as_millis() as u64;
                node.waiting.push_back((session, position, until));
            }
            PlacementOutcome::Refused(_) => {}
        }
    }

    /// Places waiting requests again, as many as there may be room for, and those whose time is over.
    fn wake(&mut self, index: usize) {
        let now = at(self.now_ms);
        let service = ServiceName::new("llm");
        let node = &mut self.nodes[index];
        let targets = node.core.targets();
        let free = targets.free_slots("llm", now) + targets.cold_room("llm", None, now);
        let count = node.waiting.len().min(free as usize);
        let mut due: Vec<Waiter> = node.waiting.drain(..count).collect();
        let (late, waiting) = node.waiting.drain(..).partition(|waiter| waiter.2 <= self.now_ms);
        node.waiting = waiting;
        due.extend::<VecDeque<Waiter>>(late);
        for (session, position, _) in due {
            self.nodes[index].core.waiting_mut().leave(&service, &position);
            self.place(index, session);
        }
    }

    fn end_attempts(&mut self) {
        let now = at(self.now_ms);
        let mut index = 0;
        while index < self.attempts.len() {
            let delay = self.draws.millis(25);
            let attempt = &mut self.attempts[index];
            let node = &mut self.nodes[attempt.node];
            // An instance that has started again knows nothing of what it had.
            let core = (node.run == attempt.run).then_some(&mut node.core);
            let is_over = match (core, attempt.end_ms) {
                (None, _) => true,
                (Some(core), Some(end)) if end <= self.now_ms => {
                    core.targets_mut().end_attempt(attempt.key);
                    true
                }
                (Some(core), None) if attempt.send_ms <= self.now_ms => {
                    let may_reach = attempt.session.may_reach(core, attempt.key, now);
                    if may_reach {
                        core.targets_mut().record_sent(attempt.key, now);
                        let arrival = self.now_ms + delay;
                        attempt.end_ms = Some(arrival + HOLD_MS);
                        if attempt.engine.starts_with("e-0-") {
                            let engine = attempt.engine.clone();
                            self.arrivals.entry(engine).or_default().push(arrival);
                        }
                    } else {
                        core.targets_mut().record_unsent(attempt.key);
                        core.targets_mut().end_attempt(attempt.key);
                    }
                    !may_reach
                }
                _ => false,
            };
            if is_over {
                self.attempts.swap_remove(index);
            } else {
                index += 1;
            }
        }
    }

    fn send_digests(&mut self) {
        let now = at(self.now_ms);
        let due = self.now_ms + REPORT_DELAY_MS;
        let mut sums: BTreeMap<(String, usize), Vec<Rc<GateDigest>>> = BTreeMap::new();
        self.update_instances();
        for node in &mut self.nodes {
            node.core.drop_silent_peers(now);
            let digest = Rc::new(node.core.digest(node.run, now));
            node.core.claim_slots(self.draws.next(), now);
            sums.entry((node.domain.clone(), node.side)).or_default().push(Rc::clone(&digest));
            let (name, domain) = (node.name.clone(), node.domain.clone());
            self.digests.push_back((due, digest, name, domain, node.side, false));
        }
        for ((domain, side), digests) in sums {
            let others = digests[1..].iter().map(Rc::as_ref);
            let sum = Rc::new(GateDigest::sum(&digests[0], others));
            let name = InstanceMap::domain_peer_name(&domain);
            self.digests.push_back((due, sum, name, domain, side, true));
        }
    }

    /// Leaves out the instances that are not heard.
    fn update_instances(&mut self) {
        let Some(_) = self.cut_ms.filter(|at| at + FORGET_MS <= self.now_ms) else { return };
        let mut sides: BTreeMap<usize, BTreeMap<String, Vec<String>>> = BTreeMap::new();
        for node in &self.nodes {
            let domains = sides.entry(node.side).or_default();
            domains.entry(node.domain.clone()).or_default().push(node.name.clone());
        }
        for node in &mut self.nodes {
            let domains = sides[&node.side].clone();
            let instances = InstanceMap { own: node.name.clone(), domains };
            if instances != node.instances {
                node.core.set_instances(&instances);
                node.instances = instances;
            }
        }
    }

    fn deliver_digests(&mut self) {
        let now = at(self.now_ms);
        let is_relayed = self.nodes.len() / self.domains >= RELAYED;
        while self.digests.front().is_some_and(|(due, ..)| *due <= self.now_ms) {
            let Some((_, digest, name, domain, side, is_sum)) = self.digests.pop_front() else {
                return;
            };
            for node in &mut self.nodes {
                let is_own = node.domain == domain;
                let is_meant =
                    if is_relayed { is_sum } else { is_sum != is_own && node.name != name };
                if is_meant && node.side == side {
                    node.core.apply_digest(&name, &digest, now);
                }
            }
        }
    }

    /// Most requests that arrived at one returned engine in any one second.
    pub fn worst_second(&self) -> usize {
        worst_second(&self.arrivals, 0, u64::MAX)
    }

    /// The same in the seconds that begin between two times after the last change of the engines.
    pub fn worst_within(&self, from: u64, to: u64) -> usize {
        let start = self.returned_ms.expect("returned");
        worst_second(&self.arrivals, start + from, start + to)
    }

    /// The engines turn cold once more, without an end of their connections; the entries that say so arrive up to a second
    /// later. Returns the most requests that arrived at one engine in any second of the three before.
    pub fn turn_cold(&mut self) -> usize {
        let before = worst_second(&self.arrivals, self.now_ms - 3_000, self.now_ms - 1_000);
        (self.returned_ms, self.sequence) = (Some(self.now_ms), self.sequence + 1);
        for node in &mut self.nodes {
            node.entries_ms = Some(self.now_ms + self.draws.millis(1_000));
        }
        before
    }

    /// Mean number of requests a second that arrived at the returned engines between two times after their return.
    pub fn mean_rate(&self, from: u64, to: u64) -> f64 {
        let start = self.returned_ms.expect("returned");
        let is_within = |ms: &&u64| (start + from..start + to).contains(ms);
        let count = self.arrivals.values().flatten().filter(is_within).count();
        count as f64 * 1e3 / ((to - from) as f64 * RETURNING as f64)
    }
}
