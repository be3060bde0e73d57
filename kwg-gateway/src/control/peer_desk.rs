use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender, unbounded};
use async_executor::Executor;
use kwg_gate::GateDigest;
use kwg_model::{InstanceName, MonoTime};
use kwg_peer::{LinkCommand, LinkOptions, LinkSink, PeerLink, TlsIdentity};
use kwg_telemetry::{EventLine, HybridClock};
use kwg_wire::{GateNotice, PeerBody, SharedTable};

use super::control_hub::ControlHub;
use super::instance_desk::InstanceDesk;
use super::table_mirror::TableMirror;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::{OwnDigest, TrafficInput};

/// How long a peer may be ahead before it is asked: the store's own news need some milliseconds.
const AHEAD_LIMIT: Duration = Duration::from_millis(500);
/// Pause between two questions of that kind.
const PULL_PAUSE: Duration = Duration::from_millis(600);
/// Silence after which a peer gets no more digests. One that comes back says so itself.
const SILENCE_LIMIT: Duration = Duration::from_secs(20);

/// Speaks with the other gateways.
#[derive(Debug)]
pub(crate) struct PeerDesk {
    hub: Rc<ControlHub>,
    commands: Sender<LinkCommand>,
    addresses: HashMap<InstanceName, SocketAddr>,
    heard: HashMap<InstanceName, MonoTime>,
    behind_since: HashMap<SharedTable, MonoTime>,
    pulled: HashMap<SharedTable, MonoTime>,
    nudges: HashMap<SharedTable, Sender<()>>,
}

/// Takes what arrives on links over to the desk.
#[derive(Debug)]
struct DeskSink {
    arrivals: Sender<(InstanceName, GateNotice)>,
    metrics: GatewayMetrics,
}

impl LinkSink for DeskSink {
    fn deliver(&self, from: InstanceName, body: PeerBody) {
        match body {
            PeerBody::Gate(notice) => {
                if self.arrivals.try_send((from, notice)).is_err() {
                    self.metrics.note_dropped("notice");
                }
            }
            _ => self.note_fault("not-for-gateways"),
        }
    }

    fn note_fault(&self, reason: &'static str) {
        self.metrics.note_dropped(reason);
    }
}

/// What the desk waits for.
enum DeskEvent {
    Arrival(InstanceName, GateNotice),
    Digest(GateDigest),
}

impl PeerDesk {
    pub(crate) fn new(hub: &Rc<ControlHub>, nudges: HashMap<SharedTable, Sender<()>>) -> Self {
        let (commands, _) = unbounded();
        Self {
            hub: Rc::clone(hub),
            commands,
            addresses: HashMap::new(),
            heard: HashMap::new(),
            behind_since: HashMap::new(),
            pulled: HashMap::new(),
            nudges,
        }
    }

    /// Joins the fleet, then passes digests and tables on for ever.
    pub(crate) async fn run(
        mut self,
        executor: Arc<Executor<'static>>,
        digests: Receiver<OwnDigest>,
    ) {
        let fleet = InstanceDesk::new(&self.hub).join().await;
        let (arrivals, arriving) = unbounded();
        let own = self.hub.settings.name.clone();
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
            own: own.clone(),
            incarnation: self.hub.run,
            address: self.hub.settings.peer,
            identity,
            clock: self.hub.clock.clone(),
            stamps: HybridClock::default(),
        };
        let (commands, taken) = unbounded();
        let sink = Arc::new(DeskSink { arrivals, metrics: self.hub.metrics.clone() });
        match PeerLink::bind(options, Arc::clone(&executor), commands.clone(), sink) {
            Ok(link) => executor.spawn(link.run(taken)).detach(),
            Err(error) => return log::error!("event=peers-unavailable reason=\"{error}\""),
        }
        self.commands = commands;
        let now = self.hub.clock.now();
        for (name, address) in fleet.peers {
            if let Ok(name) = InstanceName::new(name)
                && name != own
            {
                self.heard.insert(name.clone(), now);
                self.addresses.insert(name, address);
            }
        }
        log::info!("event=joined peers={}", self.addresses.len());
        self.command(LinkCommand::Addresses(self.addresses.clone()));
        loop {
            let arrival = async {
                arriving.recv().await.map(|(from, notice)| DeskEvent::Arrival(from, notice))
            };
            let digest =
                async { digests.recv().await.map(|OwnDigest(digest)| DeskEvent::Digest(digest)) };
            match futures_lite::future::or(arrival, digest).await {
                Ok(DeskEvent::Arrival(from, notice)) => self.take(from, notice),
                Ok(DeskEvent::Digest(digest)) => self.tell(digest),
                Err(_) => return,
            }
        }
    }

    /// Sends a digest to every peer that is heard from.
    fn tell(&mut self, digest: GateDigest) {
        let now = self.hub.clock.now();
        let digest = GateDigest {
            orders_revision: self.hub.revision(SharedTable::Orders),
            registry_revision: self.hub.revision(SharedTable::Targets),
            store_answers: self.hub.store_answers(),
            ..digest
        };
        let address = self.hub.settings.peer;
        let is_heard = |name: &InstanceName| {
            self.heard.get(name).is_some_and(|at| now.since(*at) < SILENCE_LIMIT)
        };
        for name in self.addresses.keys().filter(|name| is_heard(name)) {
            let notice = GateNotice::Digest { address, digest: Box::new(digest.clone()) };
            self.send(name, notice);
        }
        self.hub.expire_targets();
    }

    fn take(&mut self, from: InstanceName, notice: GateNotice) {
        let now = self.hub.clock.now();
        match notice {
            GateNotice::Digest { address, digest } => {
                let is_new = self.heard.insert(from.clone(), now).is_none();
                if self.addresses.insert(from.clone(), address) != Some(address) {
                    self.command(LinkCommand::Addresses(self.addresses.clone()));
                }
                if is_new {
                    log::info!("event=peer-found peer={from} address={address}");
                }
                self.compare(&from, SharedTable::Orders, digest.orders_revision, now);
                self.compare(&from, SharedTable::Targets, digest.registry_revision, now);
                self.hub.tell_traffic(TrafficInput::Digest(from.to_string(), digest));
            }
            GateNotice::Pull { table } => {
                let mirrors = self.hub.mirrors.borrow();
                if let Some(mirror) = mirrors.get(&table).filter(|mirror| mirror.is_filled()) {
                    self.send(&from, copy_of(table, mirror));
                }
            }
            GateNotice::Copy { table, revision, rows } => {
                self.hub.take_reading(table, rows, revision, from.as_str());
            }
        }
    }

    /// Asks a peer that has known more than this instance for a while.
    fn compare(&mut self, peer: &InstanceName, table: SharedTable, revision: u64, now: MonoTime) {
        let known = self.hub.revision(table);
        if revision <= known {
            if revision == known {
                self.behind_since.remove(&table);
            }
            return;
        }
        let since = *self.behind_since.entry(table).or_insert(now);
        let is_due = self.pulled.get(&table).is_none_or(|at| now.since(*at) > PULL_PAUSE);
        if now.since(since) > AHEAD_LIMIT && is_due {
            self.pulled.insert(table, now);
            let line = EventLine::new("behind-peer").field("peer", peer);
            let line = line.field("table", super::control_hub::table_name(table));
            log::info!("{}", line.field("known", known).field("peer_has", revision));
            self.send(peer, GateNotice::Pull { table });
            if self.nudges.get(&table).is_some_and(|nudge| nudge.try_send(()).is_err()) {
                log::debug!("event=feed-already-nudged");
            }
        }
    }

    fn send(&self, to: &InstanceName, notice: GateNotice) {
        self.command(LinkCommand::Send { to: to.clone(), body: PeerBody::Gate(notice) });
    }

    fn command(&self, command: LinkCommand) {
        if self.commands.try_send(command).is_err() {
            self.hub.metrics.note_dropped("link-command");
        }
    }
}

fn copy_of(table: SharedTable, mirror: &TableMirror) -> GateNotice {
    let rows =
        mirror.rows().map(|(key, revision, value)| (key.to_owned(), revision, value.to_vec()));
    GateNotice::Copy { table, revision: mirror.revision(), rows: rows.collect() }
}
