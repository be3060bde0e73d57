//! Large failure domains, in which digests go through a relay: who is it, who replaces it, and how
//! many messages that takes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use kwg_gate::{DigestDelta, DigestExchange, DomainView, FleetRoster, GateDigest};
use kwg_model::MonoTime;

const DOMAIN: &str = "a";
const TICK_MS: u64 = 200;
/// Time in which the loss of a relay must be noticed and repaired.
const REPLACED_WITHIN_MS: u64 = 1_000;

enum Message {
    Digest(DigestDelta),
    View(DomainView),
}

struct Instance {
    roster: FleetRoster,
    exchange: DigestExchange,
    run: u64,
    /// Latest sum of the other instances' members, and when it arrived.
    heard: Option<(u16, u64)>,
}

/// The instances of one domain, which exchange digests as the gateway's control thread does.
struct Domain {
    instances: BTreeMap<String, Instance>,
    addresses: BTreeMap<String, SocketAddr>,
    now_ms: u64,
    sent: BTreeMap<String, BTreeSet<String>>,
    /// Instances that the store rejects.
    rejected: BTreeSet<String>,
}

fn name(number: usize) -> String {
    format!("a-{number:03}")
}

impl Domain {
    fn new(size: usize) -> Self {
        let address = |number: usize| SocketAddr::from(([10, 0, 0, 1], 2_000 + number as u16));
        let addresses = (0..size).map(|number| (name(number), address(number))).collect();
        let (instances, sent, rejected) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        let mut domain = Self { instances, addresses, now_ms: 1, sent, rejected };
        (0..size).for_each(|number| domain.start(&name(number)));
        domain
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_ms)
    }

    /// Starts an instance, which reads all rows from the store.
    fn start(&mut self, own: &str) {
        let mut roster = FleetRoster::new(own, DOMAIN, self.now());
        for (name, address) in &self.addresses {
            roster.record_member(name, *address, DOMAIN, self.now());
        }
        let instance =
            Instance { roster, exchange: DigestExchange::default(), run: self.now_ms, heard: None };
        self.instances.insert(own.to_owned(), instance);
    }

    fn stop(&mut self, names: impl IntoIterator<Item = String>) {
        for name in names {
            self.instances.remove(&name);
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        let now = self.now();
        let mut messages = Vec::new();
        for (own, instance) in &mut self.instances {
            let Instance { roster, exchange, run, .. } = instance;
            let store_answers = !self.rejected.contains(own);
            let digest =
                GateDigest { run: *run, members: 1, store_answers, ..GateDigest::default() };
            roster.set_store_answers(store_answers);
            roster.update_relay(now);
            let delta = exchange.encode_own(&digest);
            for to in roster.neighbours(now) {
                messages.push((own.clone(), to.to_owned(), Message::Digest(delta.clone())));
            }
            if roster.is_relayed(now) && roster.is_relay(now) {
                let listing = roster.domain_listing(self.addresses[own], now);
                let sum = roster.domain_sum(&digest, now);
                let view = exchange.next_view(DOMAIN, sum, listing);
                for to in roster.domain_peers(now) {
                    let included = exchange.last_of(to);
                    let view = DomainView { included, ..view.clone() };
                    messages.push((own.clone(), to.to_owned(), Message::View(view)));
                }
            }
        }
        for (from, to, message) in messages {
            self.sent.entry(from.clone()).or_default().insert(to.clone());
            self.deliver(&from, &to, &message);
        }
    }

    fn deliver(&mut self, from: &str, to: &str, message: &Message) {
        let now = self.now();
        let address = self.addresses[from];
        let Some(Instance { roster, exchange, run, heard }) = self.instances.get_mut(to) else {
            return;
        };
        match message {
            Message::Digest(delta) => {
                roster.record_member(from, address, DOMAIN, now);
                if let Some(digest) = exchange.decode(from, delta) {
                    roster.keep_digest(from, &digest);
                }
            }
            Message::View(view) => {
                if !roster.record_view(from, view.listing.clone(), now) {
                    return;
                }
                for (_, sum) in exchange.decode_view(from, view, DOMAIN, *run) {
                    *heard = Some((sum.members, self.now_ms));
                }
            }
        }
    }

    fn run_ms(&mut self, span_ms: u64) {
        (0..span_ms / TICK_MS).for_each(|_| self.tick());
    }

    fn relays(&self) -> Vec<&str> {
        let acting =
            self.instances.iter().filter(|(_, instance)| instance.roster.is_relay(self.now()));
        acting.map(|(name, _)| name.as_str()).collect()
    }

    fn readers(&self) -> usize {
        let now = self.now();
        self.instances.values().filter(|instance| instance.roster.is_store_reader(now)).count()
    }

    /// Time until all instances have heard views again, from one relay.
    fn repaired_after_ms(&mut self) -> u64 {
        let start = self.now_ms;
        while self.now_ms < start + 20_000 {
            self.tick();
            let relays = self.relays().len();
            let now_ms = self.now_ms;
            let mut others =
                self.instances.values().filter(|instance| !instance.roster.is_relay(self.now()));
            let is_fresh = |instance: &Instance| {
                instance.heard.is_some_and(|(_, at)| at > start && at + TICK_MS >= now_ms)
            };
            if relays == 1 && others.all(is_fresh) {
                return self.now_ms - start;
            }
        }
        panic!("not repaired: relays {:?}", self.relays());
    }
}

#[test]
fn one_relay_serves_a_domain_and_the_others_send_to_two_instances() {
    let mut domain = Domain::new(50);
    domain.run_ms(4_000);
    assert_eq!(domain.relays(), ["a-000"]);
    domain.sent.clear();
    domain.run_ms(4_000);
    for (own, peers) in &domain.sent {
        let bound = if own == "a-000" { 49 } else { 2 };
        assert!(peers.len() <= bound, "{own} sends to {}", peers.len());
    }
    for (name, instance) in domain.instances.iter().skip(2) {
        assert_eq!(instance.heard.map(|(members, _)| members), Some(49), "others of {name}");
    }
    assert_eq!(domain.readers(), 1);
}

#[test]
fn a_store_reader_that_the_store_rejects_or_that_is_lost_is_replaced() {
    let mut domain = Domain::new(50);
    domain.run_ms(4_000);
    domain.rejected.insert(name(0));
    domain.run_ms(REPLACED_WITHIN_MS);
    let reads = |domain: &Domain, number: usize| {
        domain.instances[&name(number)].roster.is_store_reader(domain.now())
    };
    assert!(reads(&domain, 1), "the store rejects the first instance");
    domain.stop([name(1)]);
    domain.run_ms(2 * REPLACED_WITHIN_MS);
    assert!(reads(&domain, 2), "its successor is lost");
    assert!(domain.readers() <= 2, "{} readers", domain.readers());
}

#[test]
fn a_lost_relay_is_replaced_within_a_second() {
    let mut domain = Domain::new(50);
    domain.run_ms(4_000);
    domain.stop([name(0)]);
    let span = domain.repaired_after_ms();
    assert!(span <= REPLACED_WITHIN_MS, "{span} ms");
    assert_eq!(domain.relays(), ["a-001"]);
}

#[test]
fn the_loss_of_a_third_of_the_domain_is_repaired() {
    let mut domain = Domain::new(50);
    domain.run_ms(4_000);
    domain.stop((0..17).map(name));
    let span = domain.repaired_after_ms();
    assert_eq!(domain.relays(), ["a-017"]);
    assert!(domain.readers() <= 2);
    assert!(span <= REPLACED_WITHIN_MS, "{span} ms");
}

#[test]
fn a_relay_that_returns_does_not_replace_its_successor() {
    let mut domain = Domain::new(50);
    domain.run_ms(4_000);
    domain.stop([name(0)]);
    domain.run_ms(3_000);
    domain.start("a-000");
    for _ in 0..25 {
        domain.tick();
        let now_ms = domain.now_ms;
        for (name, instance) in domain.instances.iter().skip(3) {
            let (members, at) = instance.heard.expect("heard");
            assert!(at + 2 * TICK_MS >= now_ms, "{name} hears nothing");
            assert!(members >= 40, "{name} hears of {members} members");
        }
    }
    assert_eq!(domain.relays(), ["a-001"]);
}

#[test]
fn all_instances_that_start_again_find_one_relay() {
    let mut domain = Domain::new(50);
    domain.run_ms(4_000);
    (0..50).for_each(|number| domain.start(&name(number)));
    let span = domain.repaired_after_ms();
    assert!(span <= 2 * REPLACED_WITHIN_MS, "{span} ms");
}

#[test]
fn an_instance_that_reaches_no_other_reads_the_store_itself() {
    let mut domain = Domain::new(50);
    domain.run_ms(4_000);
    domain.stop((0..49).map(name));
    domain.run_ms(2_600);
    assert!(domain.instances[&name(49)].roster.is_store_reader(domain.now()));
}
