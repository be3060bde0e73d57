use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use futures_lite::FutureExt;
use kwg_flow::{
    ControlInput, DispatchOrder, ResumeOrder, TargetEvent, TrafficCore, TrafficIdentity,
    TrafficInput, TrafficMessage, TrafficOutput,
};
use kwg_front::{CallerRegistry, FrontContext, FrontServer};
use kwg_model::{FleetSnapshot, HomeAddress, PoolName, TargetName, TicketKey};
use kwg_peer::LinkCommand;
use kwg_target::{TargetClient, TargetOptions};
use kwg_telemetry::{EventLine, RouterGauges};
use kwg_wire::PeerBody;

use crate::key_binder::BindRequest;
use crate::router_pipes::RouterPipes;
use crate::wake_timer::WakeTimer;

/// How long a drained core waits for its callers to read their last replies.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the open connections are polled meanwhile.
const LINGER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs one traffic core and its I/O: callers' connections and targets' streams.
pub(crate) struct TrafficThread {
    pipes: RouterPipes,
    address: HomeAddress,
    core: TrafficCore,
    fleet: Arc<FleetSnapshot>,
    core_inputs: Sender<TrafficInput>,
    callers: Rc<CallerRegistry>,
    targets: TargetClient,
    gauges: RouterGauges,
    executor: Rc<LocalExecutor<'static>>,
}

impl TrafficThread {
    pub(crate) fn new(pipes: RouterPipes, shard: u16, seed: u64) -> Self {
        let settings = &pipes.settings;
        let address = pipes.core_address(shard);
        let identity = TrafficIdentity {
            address: address.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            shards: settings.threads,
        };
        let core_inputs = pipes.traffic[usize::from(shard)].clone();
        let hybrid_clock = pipes.events.clock().clone();
        Self {
            core: TrafficCore::new(identity, settings.traffic, seed),
            address,
            fleet: Arc::default(),
            callers: Rc::new(CallerRegistry::new(
                core_inputs.clone(),
                settings.limits.reply_backlog,
            )),
            core_inputs,
            targets: TargetClient::new(TargetOptions::default(), pipes.clock.clone(), hybrid_clock),
            gauges: pipes.metrics.gauges(shard),
            executor: Rc::new(LocalExecutor::new()),
            pipes,
        }
    }

    /// Runs until `inputs` is closed. A drained core reports that and keeps serving its inputs.
    pub(crate) fn run(self, inputs: Receiver<TrafficInput>, listener: Async<TcpListener>) {
        let context = FrontContext {
            accounts: self.pipes.settings.accounts.clone().into(),
            seal_key: self.pipes.settings.seal_key.clone(),
            limits: self.pipes.settings.limits,
            clock: self.pipes.clock.clone(),
            callers: Rc::clone(&self.callers),
            metrics: self.pipes.metrics.clone(),
            ready: Arc::clone(&self.pipes.ready),
            close_connections: Arc::clone(&self.pipes.close_connections),
        };
        let front = FrontServer::new(context);
        let accepting = Rc::clone(&front).run(Rc::new(listener), Rc::clone(&self.executor));
        self.executor.spawn(accepting).detach();
        let executor = Rc::clone(&self.executor);
        block_on(executor.run(self.run_core(inputs, front)));
    }

    async fn run_core(mut self, inputs: Receiver<TrafficInput>, front: Rc<FrontServer>) {
        let clock = self.pipes.clock.clone();
        let mut timer = WakeTimer::new(clock.clone());
        let mut drained = None;
        while let Some(input) = self.next_input(&inputs, &mut timer).await {
            if let Some(fleet) = self.pipes.fleet.changed_since(&self.fleet) {
                self.fleet = Arc::clone(&fleet);
                let outputs = self.core.step(clock.now(), TrafficInput::Fleet(fleet));
                outputs.into_iter().for_each(|output| self.perform(output, &mut drained));
            }
            let outputs = self.core.step(clock.now(), input);
            outputs.into_iter().for_each(|output| self.perform(output, &mut drained));
            self.gauges.queued.set(i64::try_from(self.core.queued_count()).unwrap_or(i64::MAX));
            self.gauges.running.set(i64::try_from(self.core.running_count()).unwrap_or(i64::MAX));
            self.gauges.records.set(i64::try_from(self.core.record_count()).unwrap_or(i64::MAX));
            if let Some(handed_over) = drained.take() {
                self.linger(&front).await;
                let _ = self.pipes.drained.send(handed_over).await;
            }
        }
    }

    /// Returns the next input, or a tick at the wake time that the core asked for; `None` if
    /// `inputs` is closed.
    async fn next_input(
        &self,
        inputs: &Receiver<TrafficInput>,
        timer: &mut WakeTimer,
    ) -> Option<TrafficInput> {
        // With inputs waiting, as under load, the timer is not reset for each of them.
        if let Ok(input) = inputs.try_recv() {
            return Some(input);
        }
        timer.set(self.core.next_wake(self.pipes.clock.now()));
        let tick = async {
            timer.wait().await;
            Some(TrafficInput::Tick)
        };
        async { inputs.recv().await.ok() }.or(tick).await
    }

    /// Waits until callers have closed their connections, but at most [`LINGER_TIMEOUT`].
    async fn linger(&self, front: &FrontServer) {
        let clock = &self.pipes.clock;
        let deadline = clock.now() + LINGER_TIMEOUT;
        while front.connections() > 0 && clock.now() < deadline {
            clock.sleep(LINGER_POLL_INTERVAL).await;
        }
    }

    fn perform(&self, output: TrafficOutput, drained: &mut Option<bool>) {
        match output {
            TrafficOutput::Reply { caller, reply } => {
                if !self.callers.reply(caller, reply) {
                    self.pipes.metrics.record_rejected("slow-caller");
                }
            }
            TrafficOutput::Send { to, message } => self.send(to, message),
            TrafficOutput::Dispatch(order) => self.dispatch(*order),
            TrafficOutput::Resume(order) => self.resume(order),
            TrafficOutput::Cancel { key, pool, target } => self.cancel(key, &pool, &target),
            TrafficOutput::BindKey { request, key, ticket } => {
                let shard = self.address.shard;
                let bind = BindRequest { shard, request, key, ticket };
                if self.pipes.keys.try_send(bind).is_err() {
                    self.pipes.metrics.record_rejected("binder-busy");
                    let input = TrafficInput::KeyBound { request, ticket: None };
                    drop(self.core_inputs.try_send(input));
                }
            }
            TrafficOutput::Sample(sample) => self.send_to_control(ControlInput::Sample(sample)),
            TrafficOutput::Crash { fingerprint, target } => {
                self.send_to_control(ControlInput::Crash { fingerprint, target });
            }
            TrafficOutput::Event(event) => {
                self.pipes.metrics.record_flow(&event);
                self.pipes.events.record(EventLine::from(&event));
            }
            TrafficOutput::Inherited { home } => {
                let successor = self.address.clone();
                self.send_to_control(ControlInput::Inherited { home, successor });
            }
            TrafficOutput::Drained { handed_over } => *drained = Some(handed_over),
        }
    }

    fn send_to_control(&self, input: ControlInput) {
        if self.pipes.control.try_send(input).is_err() {
            self.pipes.metrics.record_peer_fault("control-busy");
        }
    }

    fn send(&self, to: HomeAddress, message: TrafficMessage) {
        let from = self.address.clone();
        if to.instance == from.instance {
            return self.pipes.send_to_core(&to, TrafficInput::Peer { from, message });
        }
        let instance = to.instance.clone();
        let body = PeerBody::Traffic { from, to, message };
        let command = LinkCommand::Send { to: instance, body };
        if self.pipes.link.try_send(command).is_err() {
            self.pipes.metrics.record_peer_fault("link-busy");
        }
    }

    fn dispatch(&self, order: DispatchOrder) {
        let (targets, core_inputs) = (self.targets.clone(), self.core_inputs.clone());
        let key = order.permit.key().clone();
        let task = async move { targets.dispatch(order, reporter(core_inputs, key)).await };
        self.executor.spawn(task).detach();
    }

    fn resume(&self, order: ResumeOrder) {
        let (targets, core_inputs, key) =
            (self.targets.clone(), self.core_inputs.clone(), order.key.clone());
        let task = async move { targets.resume(order, reporter(core_inputs, key)).await };
        self.executor.spawn(task).detach();
    }

    fn cancel(&self, key: TicketKey, pool: &PoolName, target: &TargetName) {
        let rows = self.fleet.tables.pools.get(pool).map(|pool| pool.targets.iter());
        let row = rows.and_then(|mut rows| rows.find(|row| row.name == *target));
        let Some(address) = row.map(|row| row.address) else { return };
        let targets = self.targets.clone();
        self.executor.spawn(async move { targets.cancel(address, &key).await }).detach();
    }
}

/// Returns a function that sends a stream's events to the core, waiting while its channel is full.
fn reporter(core_inputs: Sender<TrafficInput>, key: TicketKey) -> impl AsyncFn(TargetEvent) {
    async move |event| {
        drop(core_inputs.send(TrafficInput::Target { key: key.clone(), event }).await)
    }
}
