use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use futures_lite::FutureExt;
use kwg_clock::ClockHandle;
use kwg_gate::{
    CallerLedger, GateCore, MoveDecision, MovePhase, RouteTable, ServiceName, StandingSource,
};
use kwg_model::MonoTime;
use kwg_settings::GatewaySettings;
use kwg_telemetry::EventLine;
use rand::random;

use super::front_server::FrontServer;
use super::ready_server::ReadyServer;
use super::speed_log::SpeedLog;
use super::traffic_state::TrafficState;
use super::wait_notifier::WaitNotifier;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::{TrafficInput, TrafficReport};

/// How often this instance's load is reported to peers: a fraction of the time for which a
/// request holds a slot.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// How often a draining instance checks whether the last connection has closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Log lines on cold targets in each interval: all targets of a failure domain.
const MAX_COLD_LINES: usize = 64;
/// Log lines on unknown regions for each table: enough to find the mistake.
const MAX_REGION_LINES: usize = 8;

/// The thread that serves callers' requests.
#[derive(Debug)]
pub(crate) struct TrafficThread {
    pub(crate) settings: GatewaySettings,
    /// Random id of this run of the process.
    pub(crate) run_id: u64,
    pub(crate) clock: ClockHandle,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) front: TcpListener,
    pub(crate) ready: TcpListener,
    pub(crate) inputs: Receiver<TrafficInput>,
    pub(crate) reports: Sender<TrafficReport>,
    /// Dropped when the thread ends: after the drain, or if a listener cannot be registered.
    pub(crate) done: Sender<()>,
}

impl TrafficThread {
    /// Serves requests until [`TrafficInput::CloseIdle`] has been received and all connections have
    /// closed.
    pub(crate) fn run(self) {
        let mut core = GateCore::new(self.settings.gate.clone());
        core.begin_joining(self.clock.now());
        let callers = self.settings.callers;
        let state = TrafficState::new(core, self.clock, self.metrics, callers.front);
        let executor = Rc::new(LocalExecutor::new());
        let (front, ready) = match (Async::new(self.front), Async::new(self.ready)) {
            (Ok(front), Ok(ready)) => (front, ready),
            (Err(error), _) | (_, Err(error)) => {
                log::error!("event=listen-failed error=\"{error}\"");
                return;
            }
        };
        let server = FrontServer { state: Rc::clone(&state), listener: front };
        let accepting = executor.spawn(server.run(Rc::clone(&executor)));
        let ledger = CallerLedger::new(callers.ready);
        let server = ReadyServer { state: Rc::clone(&state), listener: ready, ledger };
        executor.spawn(server.run(Rc::clone(&executor))).detach();
        executor.spawn(publish_reports(Rc::clone(&state), self.run_id, self.reports)).detach();
        block_on(executor.run(async {
            apply_inputs(&state, &self.inputs).await;
            state.close_idle();
            // The kernel refuses further callers, so that they try another instance at once.
            accepting.await;
            let drained = async {
                while state.callers.borrow().open_count() > 0 {
                    state.clock.sleep(DRAIN_CHECK_INTERVAL).await;
                }
            };
            // Open requests may still be retried at another target, so inputs are still applied.
            drained.or(apply_inputs(&state, &self.inputs)).or(state.end_requests()).await;
        }));
        drop(self.done);
    }
}

/// Applies messages of the control thread until [`TrafficInput::CloseIdle`]. If the channel is
/// closed, waits forever.
async fn apply_inputs(state: &Rc<TrafficState>, inputs: &Receiver<TrafficInput>) {
    while let Ok(input) = inputs.recv().await {
        if matches!(input, TrafficInput::CloseIdle) {
            return state.is_front_closed.set(true);
        }
        apply(state, input);
    }
    std::future::pending().await
}

fn apply(state: &Rc<TrafficState>, input: TrafficInput) {
    let now = state.clock.now();
    let mut core = state.core.borrow_mut();
    match input {
        TrafficInput::Table(table, revision) => {
            let had_regions = core.table().is_some_and(|before| before.has_regions());
            if core.set_table(&table) {
                let version = table.version();
                log::info!("event=table-in-force version={version} revision={revision}");
                warn_of_regions(&core, &table);
                if had_regions || table.has_regions() {
                    drop(core);
                    // Other regions are allowed to those that wait, or none.
                    WaitNotifier::wake_all(state);
                }
            }
        }
        TrafficInput::Registry(registry) => {
            let removed = core.set_registry(&registry);
            let mut pool = state.pool.borrow_mut();
            removed.into_iter().for_each(|target| pool.remove_target(target));
        }
        TrafficInput::Digest(peer, digest) => {
            for target in core.apply_digest(&peer, &digest, now) {
                let name = core.targets().entry(target).map_or("gone", |entry| entry.id.as_str());
                let line = EventLine::new("target-standing").field("target", name);
                log::info!("{}", line.field("state", "leaving").field("source", &peer));
                state.metrics.record_standing("leaving", StandingSource::Peer);
            }
            drop(core);
            wake_waiting(state);
        }
        TrafficInput::Ends(peer, records) => core.apply_ends(&peer, &records, now),
        TrafficInput::Evacuated(domains) => {
            core.set_evacuated(&domains);
            drop(core);
            WaitNotifier::wake_all(state);
        }
        TrafficInput::Order(order, phase) => core.apply_order(&order, phase, now),
        TrafficInput::Options(options) => core.set_options(options),
        TrafficInput::Instances(instances) => core.set_instances(&instances),
        TrafficInput::Explain(query, reply) => {
            if reply.try_send(core.explain(&query, random(), now)).is_err() {
                log::debug!("event=explanation-unread");
            }
        }
        TrafficInput::Stop(end) => {
            state.is_stopping.set(true);
            state.end.set(Some(end));
            log::info!("event=stopping open={}", state.callers.borrow().open_count());
            core.set_end(end);
            drop(core);
            WaitNotifier::wake_all(state);
        }
        TrafficInput::Joined => {
            if core.complete_joining(now) {
                log::info!("event=joined");
                drop(core);
                WaitNotifier::wake_all(state);
            }
        }
        TrafficInput::CloseIdle => {}
    }
}

/// Logs the regions of a table's lists in which no failure domain lies: no request is served there.
fn warn_of_regions(core: &GateCore, table: &RouteTable) {
    for region in
        table.unknown_regions(|name| core.targets().has_region(name)).iter().take(MAX_REGION_LINES)
    {
        let line = EventLine::new("region-unknown").field("region", region);
        log::warn!("{}", line.field("version", table.version()));
    }
}

/// Logs and counts which targets are cold.
fn report_cold(state: &TrafficState, core: &mut GateCore, now: MonoTime) {
    for change in core.take_cold_changes(now).iter().take(MAX_COLD_LINES) {
        let line = match change.left {
            Some(left) => EventLine::new("target-cold")
                .field("target", &change.target)
                .field("left_ms", left.as_millis())
                .field("suspected", change.is_suspected),
            None => EventLine::new("target-warm").field("target", &change.target),
        };
        log::info!("{}", line.field("share", change.share));
    }
    state.metrics.set_cold_targets(core.targets().cold_count(now));
    state.metrics.record_cold_passed(core.take_passed_cold());
}

/// Wakes as many waiting requests of each service as there may be free slots.
fn wake_waiting(state: &TrafficState) {
    let free: Vec<(ServiceName, u32)> = {
        let core = state.core.borrow();
        let waiting = core.waiting().counts().filter(|(_, count)| *count > 0);
        waiting
            .map(|(service, count)| {
                let (name, now) = (service.as_str(), state.clock.now());
                let targets = core.targets();
                let free = targets.free_slots(name, now) + targets.cold_room(name, None, now);
                (service.clone(), free.min(u32::try_from(count).unwrap_or(u32::MAX)))
            })
            .collect()
    };
    free.iter().for_each(|(service, count)| WaitNotifier::wake(state, service, *count));
}

/// Periodically closes expired target connections, drops silent peers, decides phases of version
/// moves, claims slots, wakes waiting requests and reports this instance's digest and decisions to
/// the control thread.
async fn publish_reports(state: Rc<TrafficState>, run_id: u64, reports: Sender<TrafficReport>) {
    let mut speeds = SpeedLog::default();
    loop {
        state.clock.sleep(DIGEST_INTERVAL).await;
        let now = state.clock.now();
        state.pool.borrow_mut().close_expired(now);
        state.record_callers();
        state.review_suspects();
        let mut core = state.core.borrow_mut();
        for peer in core.drop_silent_peers(now) {
            log::info!("event=peer-silent peer={peer}");
        }
        for target in core.targets_mut().take_doubtful(now) {
            log::warn!("event=leaving-doubtful target={target}");
        }
        state.metrics.set_doubtful(core.targets().doubtful_count(now));
        report_cold(&state, &mut core, now);
        let (proved, decisions): (Vec<MoveDecision>, Vec<MoveDecision>) =
            core.decide_moves(now).into_iter().partition(|made| made.phase == MovePhase::Running);
        for MoveDecision { order, reason, .. } in proved {
            let line = EventLine::new("move-proved").field("service", &order.service);
            log::info!("{}", line.field("to", &order.to).field("reason", &reason));
        }
        let digest = TrafficReport { digest: core.digest(run_id, now), decisions };
        core.claim_slots(random(), now);
        speeds.record(core.targets(), &state.metrics, now);
        drop(core);
        wake_waiting(&state);
        if reports.try_send(digest).is_err() {
            state.metrics.record_drop("digest");
        }
    }
}
