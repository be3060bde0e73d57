use std::collections::HashMap;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, RecvError, Sender, bounded, unbounded};
use async_executor::Executor;
use futures_lite::FutureExt;
use kwg_gate::{GateDigest, MoveDecision, PullReply, RowChanges, StoreRow, TableCopy};
use kwg_model::InstanceName;
use kwg_peer::{LinkOptions, LinkSink, PeerLink, TlsIdentity};
use kwg_telemetry::HybridClock;
use kwg_wire::{GateMessage, PeerBody, SharedTable};

use super::control_state::{ControlState, TableChanges};
use super::digest_handler::DigestHandler;
use super::instance_directory::{FleetPeer, InstanceDirectory};
use super::move_handler::MoveTask;
use super::move_watch::MoveWatch;
use super::peer_outbox::PeerOutbox;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::TrafficReport;

/// Delay after the start before the instance rows are read again.
const FIRST_REFRESH: Duration = Duration::from_millis(1_500);
/// Delay before the rows are read again if they lack this instance's own row, since the store's reads are stale.
const RETRY_REFRESH: Duration = Duration::from_millis(3_000);
/// How often the domain relay reads the instance rows.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Capacity of the queue of messages for one peer: those of some seconds. Digests are outdated by
/// then, and tables are pulled again.
const LINK_BACKLOG: usize = 64;

/// Joins the fleet, and exchanges table changes with the other gateways. Digests are left to the
/// [`DigestHandler`].
#[derive(Debug)]
pub(crate) struct PeerHandler {
    state: Rc<ControlState>,
    outbox: PeerOutbox,
    digests: DigestHandler,
    moves: MoveWatch,
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
    /// Joins the fleet, then handles events forever. `wakeups` end the long poll of each table's
    /// feed. Logs an error and returns if the peer link cannot be set up.
    pub(crate) async fn run(
        state: Rc<ControlState>,
        wakeups: HashMap<SharedTable, Sender<()>>,
        executor: Arc<Executor<'static>>,
        reports: Receiver<TrafficReport>,
        changes: Receiver<TableChanges>,
    ) {
        let mut directory = InstanceDirectory::new(&state);
        let fleet = directory.join().await;
        let (messages, incoming) = unbounded();
        let own = state.settings.name.clone();
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
            incarnation: state.run_id,
            address: state.settings.peer,
            identity,
            clock: state.clock.clone(),
            hybrid_clock: HybridClock::default(),
            backlog: LINK_BACKLOG,
        };
        let (commands, queued_commands) = unbounded();
        let sink = Arc::new(MessageSink { messages, metrics: state.metrics.clone() });
        match PeerLink::bind(options, Arc::clone(&executor), commands.clone(), sink) {
            Ok(link) => executor.spawn(link.run(queued_commands)).detach(),
            Err(error) => return log::error!("event=peers-unavailable reason=\"{error}\""),
        }
        let outbox = PeerOutbox::new(commands, state.metrics.clone());
        let mut digests = DigestHandler::new(&state, outbox.clone(), wakeups);
        digests.record_instances(&fleet.peers);
        let (found, found_peers) = bounded(1);
        let refresher = Rc::clone(&state);
        let handler = Self { state, outbox, digests, moves: MoveWatch::default() };
        let refreshing = refresh_instances(refresher, directory, found);
        let refresh = async {
            refreshing.await;
            // Completes only if the receiver is closed, when the process exits.
            Err(RecvError)
        };
        handler.handle_events(incoming, reports, changes, found_peers, refresh).await;
    }

    async fn handle_events(
        mut self,
        incoming: Receiver<(InstanceName, GateMessage)>,
        reports: Receiver<TrafficReport>,
        changes: Receiver<TableChanges>,
        found_peers: Receiver<Vec<FleetPeer>>,
        refresh: impl Future<Output = Result<PeerEvent, RecvError>>,
    ) {
        let mut refresh = pin!(refresh);
        loop {
            let instances = async { found_peers.recv().await.map(PeerEvent::Instances) };
            let message = async {
                incoming.recv().await.map(|(from, message)| PeerEvent::Message(from, message))
            };
            let report = async { reports.recv().await.map(PeerEvent::Report) };
            let change = async { changes.recv().await.map(PeerEvent::Changes) };
            match change.or(message).or(report).or(instances).or(refresh.as_mut()).await {
                Ok(PeerEvent::Changes(TableChanges { table, changes })) => {
                    self.forward_changes(table, &changes);
                }
                Ok(PeerEvent::Instances(peers)) => self.digests.record_instances(&peers),
                Ok(PeerEvent::Message(from, message)) => self.handle_message(from, message),
                Ok(PeerEvent::Report(report)) => {
                    self.record_moves(report.decisions, &report.digest);
                    self.digests.broadcast(report.digest);
                }
                Err(_) => return,
            }
        }
    }

    /// Queues the phases that this instance has decided and, on a store reader, the ends of moves that
    /// others have decided and not recorded.
    fn record_moves(&mut self, decisions: Vec<MoveDecision>, digest: &GateDigest) {
        for decision in decisions {
            self.moves.record_own(&decision);
            self.state.queue_move(MoveTask::Decided(decision));
        }
        if self.state.is_store_reader() {
            let due = self.moves.take_due(&digest.moves, self.state.clock.now());
            due.into_iter().for_each(|report| self.state.queue_end(report));
        }
    }

    /// Forwards changes from the store to the instances that do not read it themselves.
    fn forward_changes(&self, table: SharedTable, changes: &RowChanges) {
        for name in self.digests.recipients_of_changes() {
            self.outbox.send(name, changes_message(table, changes));
        }
    }

    /// Applies a message from a peer. A `Pull` is answered with changes or a copy of the table; `Changes`
    /// with a gap are answered with a `Pull`.
    fn handle_message(&mut self, from: InstanceName, message: GateMessage) {
        match message {
            GateMessage::Digest { .. }
            | GateMessage::DomainSum { .. }
            | GateMessage::View(_)
            | GateMessage::Resync => self.digests.handle_message(&from, message),
            GateMessage::Pull { table, known } => self.answer_pull(from.as_str(), table, known),
            GateMessage::Changes { table, base, revision, rows } => {
                let rows = rows.into_iter().map(|(key, revision, value)| StoreRow {
                    key,
                    value,
                    revision,
                });
                let changes = RowChanges { base, revision, rows: rows.collect() };
                let applied = self.state.apply_changes(table, changes, from.as_str());
                if applied.has_gap {
                    self.digests.pull(from.as_str(), table);
                } else if revision > 0 {
                    self.digests.record_copy(&from);
                }
                if !applied.rows.is_empty() && self.digests.passes_on_changes() {
                    let changes = RowChanges { base, revision, rows: applied.rows };
                    self.forward_changes(table, &changes);
                }
            }
            GateMessage::Copy { table, revision, rows } => {
                let rows = rows.into_iter().map(|(key, revision, value)| StoreRow {
                    key,
                    value: Some(value),
                    revision,
                });
                let copy = TableCopy { revision, rows: rows.collect() };
                if self.state.apply_copy(table, copy, from.as_str()) {
                    self.digests.record_copy(&from);
                }
            }
        }
    }

    fn answer_pull(&self, peer: &str, table: SharedTable, known: u64) {
        let message = match self.state.answer_pull(table, known) {
            Some(PullReply::Changes(changes)) => changes_message(table, &changes),
            Some(PullReply::Copy(TableCopy { revision, rows })) => {
                let rows = rows.into_iter().filter_map(|StoreRow { key, value, revision }| {
                    value.map(|value| (key, revision, value))
                });
                GateMessage::Copy { table, revision, rows: rows.collect() }
            }
            None => return,
        };
        self.outbox.send(peer, message);
    }
}

fn changes_message(table: SharedTable, changes: &RowChanges) -> GateMessage {
    let rows = changes.rows.iter();
    let rows = rows.map(|row| (row.key.clone(), row.revision, row.value.clone())).collect();
    GateMessage::Changes { table, base: changes.base, revision: changes.revision, rows }
}

/// Reads the instance rows again: once soon after the start, when instances started at the same
/// time have written theirs, and then periodically while this instance is the domain relay. Rows that are older
/// than this instance's own are read again soon.
async fn refresh_instances(
    state: Rc<ControlState>,
    mut directory: InstanceDirectory,
    found: Sender<Vec<FleetPeer>>,
) {
    state.clock.sleep(FIRST_REFRESH).await;
    loop {
        let peers = directory.refresh().await;
        let own = state.settings.name.as_str();
        let has_own = peers.as_ref().is_some_and(|peers| peers.iter().any(|row| row.name == own));
        if let Some(peers) = peers
            && found.send(peers).await.is_err()
        {
            return;
        }
        if !has_own && !state.has_left() {
            state.clock.sleep(RETRY_REFRESH).await;
            continue;
        }
        state.clock.sleep(REFRESH_INTERVAL).await;
        while !state.is_relay() {
            state.clock.sleep(REFRESH_INTERVAL).await;
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/peer_handler.rs"]
mod tests;
