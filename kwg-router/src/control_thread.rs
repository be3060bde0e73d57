use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use futures_lite::FutureExt;
use kwg_clock::ClockHandle;
use kwg_decide::{LeaseWrite, PeerRecord, PeerState};
use kwg_flow::{ControlCore, ControlInput, ControlOutput, LoadOrder, TrafficInput};
use kwg_front::AdminServer;
use kwg_http::CallClient;
use kwg_model::{PoolName, VersionMove};
use kwg_peer::LinkCommand;
use kwg_store::{
    ConfigStore, EditRequest, InstanceClient, KeyStore, LeaseStore, ObjectClient, TableClient,
};
use kwg_target::{TargetClient, TargetOptions};
use kwg_telemetry::{EventLine, HybridClock};
use kwg_wire::PeerBody;
use rand::random;

use crate::event_archive::EventArchive;
use crate::key_binder::{BindRequest, KeyBinder, sweep_keys};
use crate::router_pipes::RouterPipes;
use crate::status_pages::StatusPages;

/// Runs the control core and its I/O: platform calls, idempotency keys, the admin server and the
/// event archive.
pub(crate) struct ControlThread {
    pipes: RouterPipes,
    core: Rc<RefCell<ControlCore>>,
    executor: Rc<LocalExecutor<'static>>,
    config: ConfigStore,
    list: InstanceClient,
    keys: KeyStore,
    lease: LeaseStore,
    targets: TargetClient,
}

impl ControlThread {
    pub(crate) fn new(pipes: RouterPipes) -> Self {
        let settings = &pipes.settings;
        let own_record = PeerRecord {
            instance: settings.name.clone(),
            incarnation: pipes.incarnation,
            counter: 0,
            state: PeerState::Serving,
            shards: settings.threads,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        };
        let client =
            |address| CallClient::new(address, settings.platform.timeout, pipes.clock.clone());
        let tables = TableClient::new(client(settings.platform.tables));
        let wall_start_ms = HybridClock::wall_millis() - pipes.clock.now().as_millis();
        Self {
            core: Rc::new(RefCell::new(ControlCore::new(
                own_record,
                settings.control,
                wall_start_ms,
            ))),
            executor: Rc::new(LocalExecutor::new()),
            keys: KeyStore::new(tables.clone()),
            lease: LeaseStore::new(tables.clone()),
            targets: TargetClient::new(
                TargetOptions::default(),
                pipes.clock.clone(),
                pipes.events.clock().clone(),
            ),
            config: ConfigStore::new(tables, pipes.clock.clone()),
            list: InstanceClient::new(client(settings.platform.instances)),
            pipes,
        }
    }

    /// Runs until `inputs` is closed, then archives the remaining events.
    pub(crate) fn run(
        self,
        inputs: Receiver<ControlInput>,
        keys: Receiver<BindRequest>,
        admin: Async<TcpListener>,
    ) {
        let binder = KeyBinder { store: self.keys.clone(), pipes: self.pipes.clone() };
        self.executor.spawn(binder.run(keys)).detach();
        self.executor.spawn(sweep_keys(self.keys.clone(), self.pipes.clone())).detach();
        let pages = StatusPages { core: Rc::clone(&self.core), pipes: self.pipes.clone() };
        let server = AdminServer::new(pages, self.pipes.clock.clone());
        self.executor.spawn(server.run(admin, Rc::clone(&self.executor))).detach();
        let executor = Rc::clone(&self.executor);
        block_on(executor.run(self.run_core(inputs)));
    }

    async fn run_core(self, inputs: Receiver<ControlInput>) {
        let settings = &self.pipes.settings;
        let timeout = settings.platform.timeout;
        let objects = CallClient::new(settings.platform.objects, timeout, self.pipes.clock.clone());
        let archive = EventArchive::new(
            ObjectClient::new(objects),
            self.pipes.events.clone(),
            settings.name.as_str(),
            self.pipes.incarnation,
        );
        let stopping = Rc::new(Cell::new(false));
        let archiving = self.executor.spawn(run_archive(
            archive,
            Rc::clone(&stopping),
            self.pipes.clock.clone(),
            settings.archive_interval,
        ));
        loop {
            let wake = self.core.borrow().next_wake(self.pipes.clock.now());
            let tick = async {
                self.pipes.clock.sleep_until(wake).await;
                Some(ControlInput::Tick)
            };
            let Some(input) = async { inputs.recv().await.ok() }.or(tick).await else { break };
            let outputs = self.core.borrow_mut().step(self.pipes.clock.now(), input);
            outputs.into_iter().for_each(|output| self.perform(output));
        }
        stopping.set(true);
        archiving.await;
    }

    fn perform(&self, output: ControlOutput) {
        match output {
            ControlOutput::Publish(fleet) => {
                self.pipes.fleet.publish(fleet);
                self.update_link_addresses();
                for pipe in self.pipes.traffic.iter() {
                    // A core whose channel is full reads the new snapshot before its next input.
                    drop(pipe.try_send(TrafficInput::Tick));
                }
                let ready = self.core.borrow().status().ready;
                self.pipes.ready.store(ready, Ordering::Relaxed);
            }
            ControlOutput::Send { to, message } => {
                self.send_link_command(LinkCommand::Send { to, body: PeerBody::Control(message) });
            }
            ControlOutput::ReadTables => self.read_tables(),
            ControlOutput::ReadInstances => self.read_instances(),
            ControlOutput::ReadLease => self.read_lease(),
            ControlOutput::WriteLease(write) => self.write_lease(write),
            ControlOutput::Order(order) => self.order_load(order),
            ControlOutput::EditMove { pool, from, to } => self.edit_move(pool, *from, *to),
            ControlOutput::Event(event) => {
                self.pipes.metrics.record_control(&event);
                self.pipes.events.record(EventLine::from(&event));
            }
        }
    }

    fn update_link_addresses(&self) {
        let core = self.core.borrow();
        let rows = core.router_rows().map(|(name, row)| (name, row.address));
        let addresses: HashMap<_, _> = rows.collect();
        self.send_link_command(LinkCommand::Addresses(addresses));
    }

    fn send_link_command(&self, command: LinkCommand) {
        if self.pipes.link.try_send(command).is_err() {
            self.pipes.metrics.record_peer_fault("link-busy");
        }
    }

    fn read_tables(&self) {
        let (config, inputs) = (self.config.clone(), self.pipes.control.clone());
        let read = async move {
            let tables = config.read().await.ok().map(|snapshot| snapshot.tables);
            drop(inputs.send(ControlInput::TablesRead(tables)).await);
        };
        self.executor.spawn(read).detach();
    }

    fn read_lease(&self) {
        let (lease, inputs) = (self.lease.clone(), self.pipes.control.clone());
        let read = async move {
            let row = lease.read().await.ok();
            drop(inputs.send(ControlInput::LeaseRead(row)).await);
        };
        self.executor.spawn(read).detach();
    }

    fn write_lease(&self, write: LeaseWrite) {
        let (lease, inputs) = (self.lease.clone(), self.pipes.control.clone());
        let write = async move {
            let committed = lease.write(&write).await.ok();
            drop(inputs.send(ControlInput::LeaseWritten(committed)).await);
        };
        self.executor.spawn(write).detach();
    }

    fn order_load(&self, order: LoadOrder) {
        let (targets, inputs) = (self.targets.clone(), self.pipes.control.clone());
        let clock = self.pipes.clock.clone();
        let load = async move {
            let LoadOrder { permit, pool, target, address, version } = order;
            // This task may have been delayed since the permit was issued.
            let is_valid = permit.is_valid(clock.now());
            let loaded = is_valid && targets.load(address, permit.fence(), &version).await;
            let input = ControlInput::OrderDone { pool, target, version, loaded };
            drop(inputs.send(input).await);
        };
        self.executor.spawn(load).detach();
    }

    fn edit_move(&self, pool: PoolName, from: VersionMove, to: VersionMove) {
        let (config, inputs) = (self.config.clone(), self.pipes.control.clone());
        let request = EditRequest {
            change_id: format!("{:016x}", random::<u64>()),
            editor: format!("router {}", self.pipes.settings.name),
            edited_at_ms: HybridClock::wall_millis(),
        };
        let edit = async move {
            if let Ok(snapshot) = config.read().await
                && let Some(tables) = snapshot.replace_move(&pool, &from, &to)
            {
                // The result is ignored: the tables read next show whether the edit took effect.
                drop(config.edit(&snapshot, tables, &request).await);
            }
            let tables = config.read().await.ok().map(|snapshot| snapshot.tables);
            drop(inputs.send(ControlInput::TablesRead(tables)).await);
            drop(inputs.send(ControlInput::EditAttempted).await);
        };
        self.executor.spawn(edit).detach();
    }

    fn read_instances(&self) {
        let (list, inputs) = (self.list.clone(), self.pipes.control.clone());
        let read = async move {
            let list = list.read().await.ok().map(|list| (list.version, list.rows));
            drop(inputs.send(ControlInput::InstancesRead(list)).await);
        };
        self.executor.spawn(read).detach();
    }
}

/// Archives events every `interval`, and once more when `stopping` is set.
async fn run_archive(
    mut archive: EventArchive,
    stopping: Rc<Cell<bool>>,
    clock: ClockHandle,
    interval: Duration,
) {
    /// How often `stopping` is polled.
    const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
    let mut next = clock.now() + interval;
    while !stopping.get() {
        clock.sleep(STOP_POLL_INTERVAL).await;
        if clock.now() >= next {
            archive.store().await;
            next = clock.now() + interval;
        }
    }
    archive.store().await;
}
