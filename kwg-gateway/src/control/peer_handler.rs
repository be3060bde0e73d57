use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, RecvError, Sender, bounded, unbounded};
use async_executor::Executor;
use futures_lite::FutureExt;
use kwg_adapter::StoreRow;
use kwg_gate::{
    DigestDelta, DigestExchange, DigestMirror, DigestSource, DomainView, FleetRoster, GateDigest,
    InstanceMap, TableLag,
};
use kwg_model::{InstanceName, MonoTime};
use kwg_peer::{LinkCommand, LinkOptions, LinkSink, PeerLink, TlsIdentity};
use kwg_telemetry::{EventLine, HybridClock};
use kwg_wire::{GateMessage, PeerBody, SharedTable};
use rand::random;

use super::control_state::{ControlState, TableChanges, table_name};
use super::instance_directory::{FleetPeer, InstanceDirectory};
use super::move_handler::MoveTask;
use super::table_mirror::TableMirror;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::{TrafficInput, TrafficReport};

/// Delay after the start before the instance rows are read again.
const FIRST_REFRESH: Duration = Duration::from_millis(1_500);
/// How often the domain relay reads the instance rows.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// How often a failure domain's digest sum is sent to the other domains. Less often than digests
/// within a domain, since targets of another domain are only a second choice.
const SUM_INTERVAL: Duration = Duration::from_millis(500);

/// Capacity of the queue of messages for one peer: those of some seconds. Digests are outdated by
/// then, and tables are pulled again.
const LINK_BACKLOG: usize = 64;

/// Exchanges digests, table changes and domain sums with the other gateways.
#[derive(Debug)]
pub(crate) struct PeerHandler {
    state: Rc<ControlState>,
    commands: Sender<LinkCommand>,
    roster: FleetRoster,
    exchange: DigestExchange,
    instances: InstanceMap,
    /// Sequence number of the last domain sum sent.
    sums_sent: u64,
    /// When the next domain sum is to be sent.
    sum_due: MonoTime,
    lags: HashMap<SharedTable, TableLag>,
    /// Channels that end the long poll of each table's feed.
    wakeups: HashMap<SharedTable, Sender<()>>,
}

/// Passes messages from peer links to the [`PeerHandler`].
#[derive(Debug)]
struct MessageSink {
    messages: Sender<(InstanceName, GateMessage)>,
    metrics: GatewayMetrics,
}

impl LinkSink for MessageSink {
    fn deliver(&self, from: InstanceName, body: PeerBody) {
        match body {
            PeerBody::Gate(message) => {
                if self.messages.try_send((from, message)).is_err() {
                    self.metrics.record_drop("notice");
                }
            }
            _ => self.record_fault("not-for-gateways"),
        }
    }

    fn record_fault(&self, reason: &'static str) {
        self.metrics.record_drop(reason);
    }
}

/// An event that the [`PeerHandler`] reacts to.
enum PeerEvent {
    Message(InstanceName, GateMessage),
    Report(TrafficReport),
    Changes(TableChanges),
    Instances(Vec<FleetPeer>),
}

impl PeerHandler {
    pub(crate) fn new(state: &Rc<ControlState>, wakeups: HashMap<SharedTable, Sender<()>>) -> Self {
        let (commands, _) = unbounded();
        Self {
            state: Rc::clone(state),
            commands,
            roster: FleetRoster::new(
                state.settings.name.as_str(),
                &state.settings.gate.domains.own,
                state.clock.now(),
            ),
            exchange: DigestExchange::default(),
            instances: InstanceMap::default(),
            sums_sent: 0,
            sum_due: MonoTime::ZERO,
            lags: HashMap::new(),
            wakeups,
        }
    }

    /// Joins the fleet, then handles events forever. Logs an error and returns if the peer link
    /// cannot be set up.
    pub(crate) async fn run(
        mut self,
        executor: Arc<Executor<'static>>,
        reports: Receiver<TrafficReport>,
        changes: Receiver<TableChanges>,
    ) {
        let mut directory = InstanceDirectory::new(&self.state);
        let fleet = directory.join().await;
        let (messages, incoming) = unbounded();
        let own = self.state.settings.name.clone();
        let identity = fleet.authority.issue(own.as_str()).map_err(|error| error.to_string());
        let identity = identity.and_then(|keys| {
            let identity = TlsIdentity::from_issued(fleet.authority.certificate(), &keys);
            identity.map_err(|error| error.to_string())
        });
        let identity = match identity {
            Ok(identity) => identity,
            Err(reason) => return log::error!("event=peers-unavailable reason=\"{reason}\""),
        };
        let options = LinkOptions {
            instance: own.clone(),
            incarnation: self.state.run_id,
            address: self.state.settings.peer,
            identity,
            clock: self.state.clock.clone(),
            hybrid_clock: HybridClock::default(),
            backlog: LINK_BACKLOG,
        };
        let (commands, queued_commands) = unbounded();
        let sink = Arc::new(MessageSink { messages, metrics: self.state.metrics.clone() });
        match PeerLink::bind(options, Arc::clone(&executor), commands.clone(), sink) {
            Ok(link) => executor.spawn(link.run(queued_commands)).detach(),
            Err(error) => return log::error!("event=peers-unavailable reason=\"{error}\""),
        }
        self.commands = commands;
        self.record_instances(&fleet.peers);
        let (found, found_peers) = bounded(1);
        let state = Rc::clone(&self.state);
        let mut refreshing = pin!(refresh_instances(state, directory, found));
        loop {
            let refresh = async {
                // Completes only if the receiver is closed, when the process exits.
                refreshing.as_mut().await;
                Err(RecvError)
            };
            let instances = async { found_peers.recv().await.map(PeerEvent::Instances) };
            let message = async {
                incoming.recv().await.map(|(from, message)| PeerEvent::Message(from, message))
            };
            let report = async { reports.recv().await.map(PeerEvent::Report) };
            let change = async { changes.recv().await.map(PeerEvent::Changes) };
            match change.or(message).or(report).or(instances).or(refresh).await {
                Ok(PeerEvent::Changes(changes)) => self.forward_changes(&changes),
                Ok(PeerEvent::Instances(peers)) => self.record_instances(&peers),
                Ok(PeerEvent::Message(from, message)) => self.handle_message(from, message),
                Ok(PeerEvent::Report(report)) => {
                    report
                        .decisions
                        .into_iter()
                        .for_each(|decision| self.state.queue_move(MoveTask::Decided(decision)));
                    self.broadcast_digest(report.digest);
                }
                Err(_) => return,
            }
        }
    }

    /// Adds instances that have rows in the store to the roster, and publishes the addresses.
    /// Instances with an unchanged address keep the time of their last digest.
    fn record_instances(&mut self, peers: &[FleetPeer]) {
        let now = self.state.clock.now();
        let mut count = 0;
        for peer in peers {
            let known: Option<SocketAddr> =
                self.roster.addresses().find(|(name, _)| *name == peer.name).map(|(_, at)| at);
            if known != Some(peer.address) {
                self.roster.record_member(&peer.name, peer.address, &peer.domain, now);
                count += 1;
            }
        }
        log::info!("event=instances-read rows={} news={count}", peers.len());
        self.publish_addresses();
    }

    /// Sends a digest to the neighbours and, from the domain relay, the domain's sum to the other
    /// domains. Also expires targets and updates the fleet size and this instance's roles.
    fn broadcast_digest(&mut self, digest: GateDigest) {
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
            self.send(name, GateMessage::Digest { address, domain: domain.clone(), delta });
        }
        if self.roster.is_relay(now) {
            self.send_sums(&digest, now);
        }
        self.state.expire_targets();
        let instances = self.roster.instances(now);
        if self.instances != instances {
            log::info!("event=fleet-size instances={}", instances.size());
            let is_member = |name: &str| instances.domains.values().flatten().any(|n| n == name);
            self.exchange.retain(is_member);
            self.state.send_to_traffic(TrafficInput::Instances(instances.clone()));
            self.instances = instances;
        }
        if self.state.set_relay(self.roster.is_relay(now)) {
            self.exchange.request_full();
        }
        if self.state.set_store_reader(self.roster.is_store_reader(now)) {
            self.wakeups.values().for_each(wake);
        }
    }

    /// Sends the sum of this failure domain: in a view to the instances of a large domain, and less
    /// often to the other domains.
    fn send_sums(&mut self, digest: &GateDigest, now: MonoTime) {
        let sum = self.roster.domain_sum(digest, now);
        let domain = self.state.settings.gate.domains.own.clone();
        if now >= self.sum_due {
            self.sum_due = now + SUM_INTERVAL;
            self.sums_sent += 1;
            let delta = DigestSource::default().next_delta(&sum);
            for name in self.roster.contacts(random(), now) {
                let message = GateMessage::DomainSum {
                    domain: domain.clone(),
                    relay: self.state.settings.name.to_string(),
                    run: self.state.run_id,
                    number: self.sums_sent,
                    delta: Box::new(delta.clone()),
                    pass_on: true,
                };
                self.send(name, message);
            }
        }
        if self.roster.is_relayed(now) {
            let listing = self.roster.domain_listing(self.state.settings.peer, now);
            let view = self.exchange.next_view(&domain, sum, listing);
            for name in self.roster.domain_peers(now) {
                let included =
                    self.exchange.last_of(name).filter(|_| self.roster.is_in_sum(name, now));
                let view = DomainView { included, ..view.clone() };
                self.send(name, GateMessage::View(Box::new(view)));
            }
        }
    }

    /// Forwards changes from the store to the neighbours, unless the fleet is a full mesh, in which
    /// every instance reads the store itself.
    fn forward_changes(&self, changes: &TableChanges) {
        if self.roster.is_mesh() {
            return;
        }
        let now = self.state.clock.now();
        let rows: Vec<_> = changes
            .rows
            .iter()
            .map(|row| (row.key.clone(), row.revision, row.value.clone()))
            .collect();
        let recipients = match self.roster.is_relay(now) {
            true => self.roster.domain_peers(now),
            false => self.roster.neighbours(now),
        };
        for name in recipients {
            let (table, base, rows) = (changes.table, changes.base, rows.clone());
            self.send(name, GateMessage::Changes { table, base, rows });
        }
    }

    /// Applies a message from a peer. A `Pull` is answered with a copy of the table; `Changes` with
    /// a gap are answered with a `Pull`.
    fn handle_message(&mut self, from: InstanceName, message: GateMessage) {
        let now = self.state.clock.now();
        match message {
            GateMessage::Digest { address, domain, delta } => {
                if self.roster.record_member(from.as_str(), address, &domain, now) {
                    log::info!("event=peer-found peer={from} address={address}");
                    self.publish_addresses();
                }
                let digest = self.exchange.decode(from.as_str(), &delta);
                if self.exchange.has_gap(from.as_str()) {
                    self.send(from.as_str(), GateMessage::Resync);
                }
                let Some(digest) = digest else { return };
                if !self.roster.is_mesh() {
                    self.roster.keep_digest(from.as_str(), &digest);
                }
                self.compare_tables(&from, &digest, now);
                if self.roster.hears_members(now) {
                    self.send_digest(from.to_string(), digest);
                }
            }
            GateMessage::DomainSum { domain, relay, run, number, delta, pass_on } => {
                let message = (run, number);
                if !self.roster.accept_sum(&domain, &relay, message, now) {
                    return;
                }
                self.roster.refresh_domain(&domain, now);
                if pass_on {
                    self.pass_on_sum(&domain, &relay, message, &delta, now);
                }
                let Some(sum) = DigestMirror::default().apply(&delta) else { return };
                self.compare_tables(&from, &sum, now);
                if self.roster.is_relay(now) {
                    self.exchange.keep_sum(&domain, sum.clone());
                }
                self.send_digest(InstanceMap::domain_peer_name(&domain), sum);
            }
            GateMessage::View(view) => self.apply_view(&from, *view, now),
            GateMessage::Resync => self.exchange.request_full(),
            GateMessage::Pull { table } => {
                let mirrors = self.state.mirrors.borrow();
                if let Some(mirror) = mirrors.get(&table).filter(|mirror| mirror.is_filled()) {
                    self.send(from.as_str(), copy_of(table, mirror));
                }
            }
            GateMessage::Changes { table, base, rows } => {
                if base > self.state.content_revision(table) {
                    return self.send(from.as_str(), GateMessage::Pull { table });
                }
                let revision = rows.iter().map(|(_, revision, _)| *revision).max().unwrap_or(0);
                let rows = rows.into_iter().map(|(key, revision, value)| StoreRow {
                    key,
                    value,
                    revision,
                });
                let rows = self.state.apply_changes(table, rows.collect(), revision);
                if !rows.is_empty() && self.roster.is_relayed(now) && self.roster.is_relay(now) {
                    self.forward_changes(&TableChanges { table, base, rows });
                }
            }
            GateMessage::Copy { table, revision, rows } => {
                self.state.apply_snapshot(table, rows, revision, from.as_str());
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
            self.send(name, message);
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
            self.publish_addresses();
        }
        let domain = self.state.settings.gate.domains.own.clone();
        let run = self.state.run_id;
        let sums = self.exchange.decode_view(from.as_str(), &view, &domain, run);
        if self.exchange.has_view_gap() {
            self.send(from.as_str(), GateMessage::Resync);
        }
        for (of, sum) in sums {
            if of == domain {
                self.compare_tables(from, &sum, now);
                if self.roster.hears_members(now) {
                    continue;
                }
            } else {
                self.roster.refresh_domain(&of, now);
            }
            self.send_digest(InstanceMap::domain_peer_name(&of), sum);
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

    /// Requests a copy of a table from a peer, and wakes the feed, if the peer has been ahead for
    /// some time.
    fn pull_if_behind(
        &mut self,
        peer: &InstanceName,
        table: SharedTable,
        revision: u64,
        now: MonoTime,
    ) {
        let known = self.state.content_revision(table);
        if !self.lags.entry(table).or_default().should_pull(known, revision, now) {
            return;
        }
        let line = EventLine::new("behind-peer").field("peer", peer);
        let line = line.field("table", table_name(table));
        log::info!("{}", line.field("known", known).field("peer_has", revision));
        self.send(peer.as_str(), GateMessage::Pull { table });
        self.wakeups.get(&table).into_iter().for_each(wake);
    }

    fn send(&self, to: &str, message: GateMessage) {
        match InstanceName::new(to) {
            Ok(to) => self.command(LinkCommand::Send { to, body: PeerBody::Gate(message) }),
            Err(error) => log::warn!("event=peer-unusable peer={to} error=\"{error}\""),
        }
    }

    /// Sends the peers' addresses to the link.
    fn publish_addresses(&self) {
        let named = self.roster.addresses();
        let addresses: HashMap<InstanceName, SocketAddr> = named
            .filter_map(|(name, address)| Some((InstanceName::new(name).ok()?, address)))
            .collect();
        self.command(LinkCommand::Addresses(addresses));
    }

    /// Queues a command for the link; counts it as dropped if the link has ended.
    fn command(&self, command: LinkCommand) {
        if self.commands.try_send(command).is_err() {
            self.state.metrics.record_drop("link-command");
        }
    }
}

/// Reads the instance rows again: once soon after the start, when instances started at the same
/// time have written theirs, and then periodically while this instance is the domain relay.
async fn refresh_instances(
    state: Rc<ControlState>,
    mut directory: InstanceDirectory,
    found: Sender<Vec<FleetPeer>>,
) {
    state.clock.sleep(FIRST_REFRESH).await;
    loop {
        if let Some(peers) = directory.refresh().await
            && found.send(peers).await.is_err()
        {
            return;
        }
        state.clock.sleep(REFRESH_INTERVAL).await;
        while !state.is_relay() {
            state.clock.sleep(REFRESH_INTERVAL).await;
        }
    }
}

/// Wakes a [`TableFeed`](super::table_feed::TableFeed) from its long poll.
fn wake(waker: &Sender<()>) {
    if waker.try_send(()).is_err() {
        log::debug!("event=feed-already-nudged");
    }
}

/// Builds the message with a full copy of a table.
fn copy_of(table: SharedTable, mirror: &TableMirror) -> GateMessage {
    let rows =
        mirror.rows().map(|(key, revision, value)| (key.to_owned(), revision, value.to_vec()));
    GateMessage::Copy { table, revision: mirror.revision(), rows: rows.collect() }
}
