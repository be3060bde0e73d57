use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use kwg_gate::{
    DigestDelta, DigestExchange, DigestMirror, DomainView, EndRecord, FleetRoster, GateDigest,
    InstanceMap, PeerRuns,
};
use kwg_model::{InstanceName, MonoTime};
use kwg_telemetry::EventLine;
use kwg_wire::{GateMessage, SharedTable};
use rand::random;

use super::control_state::{ControlState, table_name};
use super::instance_directory::FleetPeer;
use super::peer_outbox::PeerOutbox;
use crate::gateway_pipes::TrafficInput;

/// How often a failure domain's digest sum is sent to the other domains. Less often than digests
/// within a domain, since targets of another domain are only a second choice.
const SUM_INTERVAL: Duration = Duration::from_millis(500);

/// Exchanges digests, and the sums of failure domains, with the other gateways, and derives this
/// instance's roles and its lag behind the others from them.
#[derive(Debug)]
pub(crate) struct DigestHandler {
    state: Rc<ControlState>,
    outbox: PeerOutbox,
    roster: FleetRoster,
    exchange: DigestExchange,
    instances: InstanceMap,
    /// Sequence number of the last domain sum sent.
    sums_sent: u64,
    /// When the next domain sum is to be sent.
    sum_due: MonoTime,
    runs: PeerRuns,
    /// Whether the traffic thread has what a peer knows.
    has_joined: bool,
    /// Channels that end the long poll of each table's feed.
    wakeups: HashMap<SharedTable, Sender<()>>,
}

impl DigestHandler {
    pub(crate) fn new(
        state: &Rc<ControlState>,
        outbox: PeerOutbox,
        wakeups: HashMap<SharedTable, Sender<()>>,
    ) -> Self {
        let (own, domain) = (state.settings.name.as_str(), &state.settings.gate.domains.own);
        Self {
            state: Rc::clone(state),
            outbox,
            roster: FleetRoster::new(own, domain, state.clock.now()),
            exchange: DigestExchange::default(),
            instances: InstanceMap::default(),
            sums_sent: 0,
            sum_due: MonoTime::ZERO,
            runs: PeerRuns::default(),
            has_joined: false,
            wakeups,
        }
    }

    /// Adds instances that have rows in the store to the roster, and publishes the addresses.
    /// Instances with an unchanged address keep the time of their last digest.
    pub(crate) fn record_instances(&mut self, peers: &[FleetPeer]) {
        let now = self.state.clock.now();
        let mut count = 0;
        for peer in peers {
            if self.roster.address(&peer.name) != Some(peer.address) {
                self.roster.record_member(&peer.name, peer.address, &peer.domain, now);
                count += 1;
            }
        }
        log::info!("event=instances-read rows={} news={count}", peers.len());
        // Before any request is sent, since the retry budget is shared among the instances.
        self.publish_instances(now);
        if self.roster.addresses().next().is_none() {
            self.complete_joining();
        }
        self.outbox.publish_addresses(self.roster.addresses());
    }

    /// The instances to which changes from the store are forwarded: none in a full mesh, in which
    /// every instance reads the store itself; the relay in a large failure domain, unless this is it.
    pub(crate) fn recipients_of_changes(&self) -> Vec<&str> {
        let now = self.state.clock.now();
        match (self.roster.is_mesh(), self.roster.is_relay(now)) {
            (true, _) => Vec::new(),
            (false, true) => self.roster.domain_peers(now),
            (false, false) => self.roster.neighbours(now),
        }
    }

    /// Whether changes from another instance are forwarded: by the relay of a large failure domain.
    pub(crate) fn passes_on_changes(&self) -> bool {
        let now = self.state.clock.now();
        self.roster.is_relayed(now) && self.roster.is_relay(now)
    }

    /// Sends a digest to the neighbours and, from the domain relay, the domain's sum to the other
    /// domains. Also expires targets and updates the fleet size and this instance's roles.
    pub(crate) fn broadcast(&mut self, digest: GateDigest) {
        let now = self.state.clock.now();
        let digest = GateDigest {
            orders_revision: self.state.content_revision(SharedTable::Orders),
            registry_revision: self.state.content_revision(SharedTable::Targets),
            store_answers: self.state.is_store_available(),
            ..digest
        };
        self.roster.set_store_answers(digest.store_answers);
        self.roster.update_relay(now);
        let (address, domain) = (self.state.settings.peer, &self.state.settings.gate.domains.own);
        let delta = self.exchange.encode_own(&digest);
        for name in self.roster.neighbours(now) {
            let delta = Box::new(delta.clone());
            self.outbox.send(name, GateMessage::Digest { address, domain: domain.clone(), delta });
        }
        if self.roster.is_relay(now) {
            self.send_sums(&digest, now);
        }
        self.state.expire_targets();
        self.publish_instances(now);
        if self.state.set_relay(self.roster.is_relay(now)) {
            self.exchange.request_full();
        }
        if self.state.set_store_reader(self.roster.is_store_reader(now)) {
            self.wakeups.values().for_each(wake);
        }
    }

    /// Sends the live instances to the traffic thread if they have changed.
    fn publish_instances(&mut self, now: MonoTime) {
        let instances = self.roster.instances(now);
        if self.instances == instances {
            return;
        }
        log::info!("event=fleet-size instances={}", instances.size());
        let is_member = |name: &str| instances.domains.values().flatten().any(|n| n == name);
        self.exchange.retain(is_member);
        self.runs.retain(is_member);
        self.state.send_to_traffic(TrafficInput::Instances(instances.clone()));
        self.instances = instances;
    }

    /// Sends the sum of this failure domain: in a view to the instances of a large domain, and less
    /// often to the other domains.
    fn send_sums(&mut self, digest: &GateDigest, now: MonoTime) {
        let sum = self.roster.domain_sum(digest, now);
        let domain = self.state.settings.gate.domains.own.clone();
        if now >= self.sum_due || self.exchange.has_new_ends(&sum) {
            self.sum_due = now + SUM_INTERVAL;
            self.sums_sent += 1;
            let delta = self.exchange.encode_sum(&sum);
            for name in self.roster.contacts(random(), now) {
                let message = GateMessage::DomainSum {
                    domain: domain.clone(),
                    relay: self.state.settings.name.to_string(),
                    run: self.state.run_id,
                    number: self.sums_sent,
                    delta: Box::new(delta.clone()),
                    pass_on: true,
                };
                self.outbox.send(name, message);
            }
        }
        if self.roster.is_relayed(now) {
            let listing = self.roster.domain_listing(self.state.settings.peer, now);
            let view = self.exchange.next_view(&domain, sum, listing);
            for name in self.roster.domain_peers(now) {
                let included = self.exchange.last_of(name);
                let view = DomainView { included, ..view.clone() };
                self.outbox.send(name, GateMessage::View(Box::new(view)));
            }
        }
    }

    /// Applies a digest, a sum, a view or a request for complete digests.
    pub(crate) fn handle_message(&mut self, from: &InstanceName, message: GateMessage) {
        let now = self.state.clock.now();
        match message {
            GateMessage::Digest { address, domain, delta } => {
                if self.roster.record_member(from.as_str(), address, &domain, now) {
                    log::info!("event=peer-found peer={from} address={address}");
                    self.outbox.publish_addresses(self.roster.addresses());
                }
                let digest = self.exchange.decode(from.as_str(), &delta);
                if self.exchange.has_gap(from.as_str()) {
                    self.outbox.send(from.as_str(), GateMessage::Resync);
                }
                let Some(digest) = digest else { return };
                let revision = digest.registry_revision.max(digest.orders_revision);
                self.state.witness.borrow_mut().record(
                    from.as_str(),
                    digest.store_answers,
                    revision,
                    now,
                );
                if !self.roster.is_mesh() {
                    self.roster.keep_digest(from.as_str(), &digest);
                }
                self.compare_tables(from, &digest, now);
                self.pull_from_restarted(from, digest.run, now);
                if self.roster.hears_members(now) {
                    self.send_digest(from.to_string(), digest);
                }
                if !self.exchange.has_gap(from.as_str()) {
                    self.complete_joining();
                }
            }
            GateMessage::DomainSum { domain, relay, run, number, delta, pass_on } => {
                let message = (run, number);
                if !self.roster.accept_sum(&domain, &relay, message, now) {
                    return self.send_ends(domain, delta.changes.ends);
                }
                self.roster.refresh_domain(&domain, now);
                if pass_on {
                    self.pass_on_sum(&domain, &relay, message, &delta, now);
                }
                let Some(sum) = DigestMirror::default().apply(&delta) else { return };
                self.compare_tables(from, &sum, now);
                if self.roster.is_relay(now) {
                    self.exchange.keep_sum(&domain, sum.clone());
                }
                self.send_digest(InstanceMap::domain_peer_name(&domain), sum);
            }
            GateMessage::View(view) => self.apply_view(from, *view, now),
            GateMessage::Resync => self.exchange.request_full(),
            GateMessage::Pull { .. } | GateMessage::Changes { .. } | GateMessage::Copy { .. } => {
                self.state.metrics.record_drop("not-a-digest");
            }
        }
    }

    /// Forwards the sum of another domain: to the neighbours, which in a large domain are its
    /// relay and the instance that can replace it. The relay of a large domain sends it in views.
    fn pass_on_sum(
        &self,
        domain: &str,
        relay: &str,
        (run, number): (u64, u64),
        delta: &DigestDelta,
        now: MonoTime,
    ) {
        if self.roster.is_relayed(now) && self.roster.is_relay(now) {
            return;
        }
        for name in self.roster.neighbours(now) {
            let message = GateMessage::DomainSum {
                domain: domain.to_owned(),
                relay: relay.to_owned(),
                run,
                number,
                delta: Box::new(delta.clone()),
                pass_on: false,
            };
            self.outbox.send(name, message);
        }
    }

    /// Applies a view of this domain's relay.
    fn apply_view(&mut self, from: &InstanceName, view: DomainView, now: MonoTime) {
        let listing = view.listing.clone();
        let known = self.roster.addresses().count();
        if !self.roster.record_view(from.as_str(), listing, now) {
            return;
        }
        if self.roster.addresses().count() != known {
            self.outbox.publish_addresses(self.roster.addresses());
        }
        let domain = self.state.settings.gate.domains.own.clone();
        let run = self.state.run_id;
        let sums = self.exchange.decode_view(from.as_str(), &view, &domain, run);
        if self.exchange.has_view_gap() {
            self.outbox.send(from.as_str(), GateMessage::Resync);
        }
        for (of, sum) in sums {
            if of == domain {
                self.compare_tables(from, &sum, now);
                if self.roster.hears_members(now) {
                    self.send_ends(of, sum.ends);
                    continue;
                }
            } else {
                self.roster.refresh_domain(&of, now);
            }
            self.send_digest(InstanceMap::domain_peer_name(&of), sum);
        }
        if !self.exchange.has_view_gap() {
            self.complete_joining();
        }
    }

    /// Passes on ends of targets of a digest that is not used otherwise: they hold whoever reports them.
    fn send_ends(&self, domain: String, ends: Vec<EndRecord>) {
        let peer = InstanceMap::domain_peer_name(&domain);
        self.state.send_to_traffic(TrafficInput::Ends(peer, ends));
    }

    /// Lets the traffic thread take requests: it has what a peer knows.
    fn complete_joining(&mut self) {
        if !std::mem::replace(&mut self.has_joined, true) {
            self.state.send_to_traffic(TrafficInput::Joined);
        }
    }

    fn send_digest(&self, peer: String, digest: GateDigest) {
        self.state.send_to_traffic(TrafficInput::Digest(peer, Box::new(digest)));
    }

    /// Compares the table revisions that a digest reports with those known here.
    fn compare_tables(&mut self, peer: &InstanceName, digest: &GateDigest, now: MonoTime) {
        self.pull_if_behind(peer, SharedTable::Orders, digest.orders_revision, now);
        self.pull_if_behind(peer, SharedTable::Targets, digest.registry_revision, now);
    }

    /// Requests copies from a peer that has started again, while the store does not answer this instance.
    fn pull_from_restarted(&mut self, peer: &InstanceName, run: u64, now: MonoTime) {
        self.runs.record(peer.as_str(), run);
        if self.state.is_store_available() {
            self.runs.record_store_answer();
        }
        if self.runs.should_pull(peer.as_str(), now) {
            log::info!("event=peer-restarted peer={peer}");
            for table in [SharedTable::Orders, SharedTable::Targets] {
                self.pull(peer.as_str(), table);
            }
        }
    }

    /// Requests the changes of a table from a peer.
    pub(crate) fn pull(&self, peer: &str, table: SharedTable) {
        let known = self.state.covered_revision(table);
        self.outbox.send(peer, GateMessage::Pull { table, known });
    }

    /// Records that a copy of a peer's tables has arrived.
    pub(crate) fn record_copy(&mut self, peer: &InstanceName) {
        self.runs.record_copy(peer.as_str());
    }

    /// Requests a copy of a table from a peer, and wakes the feed, if the peer has been ahead for
    /// some time.
    fn pull_if_behind(
        &mut self,
        peer: &InstanceName,
        table: SharedTable,
        revision: u64,
        now: MonoTime,
    ) {
        if !self.state.should_pull(table, revision, now) {
            return;
        }
        let known = self.state.covered_revision(table);
        let line = EventLine::new("behind-peer").field("peer", peer);
        let line = line.field("table", table_name(table));
        log::info!("{}", line.field("known", known).field("peer_has", revision));
        self.pull(peer.as_str(), table);
        self.wakeups.get(&table).into_iter().for_each(wake);
    }
}

/// Wakes a [`TableFeed`](super::table_feed::TableFeed) from its long poll.
fn wake(waker: &Sender<()>) {
    if waker.try_send(()).is_err() {
        log::debug!("event=feed-already-nudged");
    }
}

#[cfg(test)]
#[path = "../../tests/unit/digest_handler.rs"]
mod tests;
