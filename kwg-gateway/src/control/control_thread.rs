use std::collections::HashMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded, unbounded};
use async_executor::{Executor, LocalExecutor};
use async_io::{Async, block_on};
use futures_lite::FutureExt;
use kwg_clock::ClockHandle;
use kwg_settings::GatewaySettings;
use kwg_wire::SharedTable;

use super::control_state::{ControlPipes, ControlState};
use super::feed_alarm::FeedAlarm;
use super::instance_directory::InstanceDirectory;
use super::metrics_server::serve_metrics;
use super::move_handler::MoveHandler;
use super::peer_handler::PeerHandler;
use super::table_feed::TableFeed;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::{TrafficInput, TrafficReport};

/// Time limit for removing this instance's row from the store.
const LEAVE_LIMIT: Duration = Duration::from_millis(1_000);

/// Capacity of the queue of changes to be forwarded. Changes beyond it are dropped; peers pull
/// what they miss.
const MAX_QUEUED_CHANGES: usize = 64;

/// The thread that follows the store, exchanges messages with peers, records the phases of version
/// moves in the store and serves metrics.
#[derive(Debug)]
pub(crate) struct ControlThread {
    pub(crate) settings: GatewaySettings,
    /// Random id of this run of the process.
    pub(crate) run_id: u64,
    pub(crate) clock: ClockHandle,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) metrics_listener: TcpListener,
    pub(crate) traffic: Sender<TrafficInput>,
    pub(crate) reports: Receiver<TrafficReport>,
    /// Closed when the instance starts to leave the fleet.
    pub(crate) leaving: Receiver<()>,
    /// Closed when the traffic thread no longer needs the fleet or the store.
    pub(crate) ending: Receiver<()>,
}

impl ControlThread {
    /// Runs until the instance has drained. Requests that are still served after the instance
    /// started to leave need the tables, the targets and the peers as before.
    pub(crate) fn run(self) {
        let (settings, clock) = (self.settings, self.clock);
        let (changes, changed) = bounded(MAX_QUEUED_CHANGES);
        let (move_tasks, queued_tasks) = unbounded();
        let pipes = ControlPipes { traffic: self.traffic, changes, move_tasks };
        let state = ControlState::new(settings, self.run_id, clock, self.metrics.clone(), pipes);
        let state = Rc::new(state);
        let (local, shared) = (LocalExecutor::new(), Arc::new(Executor::new()));
        let mut wakeups = HashMap::new();
        let (one, other) = FeedAlarm::pair();
        for (table, alarm) in [(SharedTable::Orders, one), (SharedTable::Targets, other)] {
            let (waker, woken) = bounded(1);
            wakeups.insert(table, waker);
            local.spawn(TableFeed::new(&state, table, woken, alarm).run()).detach();
        }
        local.spawn(MoveHandler::new(&state).run(queued_tasks)).detach();
        let to_traffic = state.traffic.clone();
        match Async::new(self.metrics_listener) {
            Ok(listener) => {
                let clock = state.clock.clone();
                local.spawn(serve_metrics(listener, self.metrics, clock, to_traffic)).detach();
            }
            Err(error) => log::error!("event=listen-failed error=\"{error}\""),
        }
        let (joining, executor) = (Rc::clone(&state), Arc::clone(&shared));
        let peers = PeerHandler::run(joining, wakeups, executor, self.reports, changed);
        local.spawn(peers).detach();
        let (leaving, ending) = (self.leaving, self.ending);
        block_on(local.run(shared.run(async {
            wait_closed(&leaving).await;
            state.leave();
            let mut directory = InstanceDirectory::new(&state);
            let timeout = async {
                state.clock.sleep(LEAVE_LIMIT).await;
            };
            directory.leave().or(timeout).await;
            wait_closed(&ending).await;
        })));
    }
}

/// Waits until the sender is dropped, which is the signal.
async fn wait_closed(signal: &Receiver<()>) {
    while signal.recv().await.is_ok() {}
}
