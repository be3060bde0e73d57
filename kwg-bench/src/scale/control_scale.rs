use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kwg_decide::{PeerRecord, PeerState};
use kwg_flow::{ControlCore, ControlInput, ControlMessage, ControlOptions, ControlOutput};
use kwg_model::{
    DomainName, InstanceKind, InstanceName, InstanceRow, MonoTime, RegionName, RouteName, RouteRow,
    ServiceTier, TableSet,
};
use kwg_wire::{FrameCodec, PeerBody, PeerFrame};

/// Step of the virtual clock, and the delay of a message.
const STEP: Duration = Duration::from_millis(50);
/// Virtual time before the measurement, in which routers discover each other.
const WARM_UP: Duration = Duration::from_secs(20);
/// Virtual time of the measurement.
const MEASURED: Duration = Duration::from_secs(30);
/// Interval between table changes: 50,000 per day. A change also waits until the previous one is in
/// force on every router.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_728);
/// Interval between restarts in a fleet of 950: 1,180 per day. A trial restarts routers four times
/// as often, because no restart would fall within `MEASURED` otherwise.
const RESTART_INTERVAL: Duration = Duration::from_secs(73);
/// Number of regions over which the routers are spread, at every fleet size.
const REGIONS: usize = 5;

/// Runs the control cores of a whole fleet in one process, on a virtual clock.
#[derive(Debug)]
pub struct ControlScale {
    now: MonoTime,
    cores: BTreeMap<InstanceName, ControlCore>,
    /// Messages in flight: sender, receiver and content.
    messages: Vec<(InstanceName, InstanceName, ControlMessage)>,
    tables: TableSet,
    list: Vec<InstanceRow>,
    cpu: Duration,
    bytes: u64,
    sent: u64,
    reads: u64,
}

/// CPU time, traffic and memory of the control cores of a fleet, per router unless a field says
/// otherwise.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ControlCost {
    /// Number of routers in the fleet.
    pub routers: usize,
    /// CPU time in percent of a core, without sockets and encryption.
    pub cpu_percent: f64,
    /// Bytes sent per second, without transport overhead.
    pub bytes_per_second: f64,
    /// Messages sent per second.
    pub messages_per_second: f64,
    /// Reads from the platform per second, by all routers together.
    pub fleet_reads_per_second: f64,
    /// Growth of resident memory during the warm-up, divided by the number of routers, in
    /// kilobytes.
    pub memory_kb: f64,
    /// Longest time during which some router did not have the newest tables, after a table change
    /// or a restart; never below one step.
    pub slowest_change: Duration,
}

fn name(number: usize) -> InstanceName {
    InstanceName::new(format!("r{number:04}")).expect("a valid name")
}

fn region(number: usize) -> RegionName {
    RegionName::new(format!("region{}", number % REGIONS)).expect("a valid name")
}

fn core(number: usize, incarnation: u64) -> ControlCore {
    let record = PeerRecord {
        instance: name(number),
        incarnation,
        counter: 0,
        state: PeerState::Serving,
        shards: 2,
        domain: DomainName::new(format!("domain{}", number % 19)).expect("a valid name"),
        region: region(number),
    };
    ControlCore::new(record, ControlOptions::default(), 0)
}

impl ControlScale {
    /// A fleet of `routers` routers that have not discovered each other yet.
    #[must_use]
    pub fn new(routers: usize) -> Self {
        let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let row = |number| InstanceRow {
            name: name(number).to_string(),
            kind: InstanceKind::Router,
            address,
            admin: None,
            region: Some(region(number)),
            leaving: false,
        };
        let route = |number: usize| {
            let name = RouteName::new(format!("route{number}")).expect("a valid name");
            let pool = kwg_model::PoolName::new("graz").expect("a valid name");
            let tier = ServiceTier::new(1).expect("in range");
            (name.clone(), RouteRow { name, pool, tier, deadline_ms: 1 })
        };
        Self {
            now: MonoTime::from_millis(1),
            cores: (0..routers).map(|number| (name(number), core(number, 1))).collect(),
            messages: Vec::new(),
            tables: TableSet {
                revision: 1,
                routes: (0..200).map(route).collect(),
                ..TableSet::default()
            },
            list: (0..routers).map(row).collect(),
            cpu: Duration::ZERO,
            bytes: 0,
            sent: 0,
            reads: 0,
        }
    }

    /// Runs the fleet with table changes and restarts, and returns the cost.
    #[must_use]
    pub fn run(mut self) -> ControlCost {
        let routers = self.cores.len();
        let memory_before = resident_kb();
        self.advance(WARM_UP);
        let memory_kb = resident_kb().saturating_sub(memory_before) as f64 / routers as f64;
        (self.cpu, self.bytes, self.sent, self.reads) = (Duration::ZERO, 0, 0, 0);
        let (mut next_change, mut next_restart) = (self.now, self.now + RESTART_INTERVAL / 4);
        let (mut changed_at, mut slowest) = (self.now, Duration::ZERO);
        let end = self.now + MEASURED;
        while self.now < end {
            let in_force =
                self.cores.values().all(|core| core.status().revision == self.tables.revision);
            if in_force {
                slowest = slowest.max(self.now.since(changed_at));
                changed_at = self.now;
            }
            if self.now >= next_change && in_force {
                next_change = self.now + CHANGE_INTERVAL;
                changed_at = self.now;
                self.change_tables();
            }
            if self.now >= next_restart {
                next_restart = self.now + RESTART_INTERVAL / 4;
                let victim = (self.now.as_millis() as usize) % routers;
                self.cores.insert(name(victim), core(victim, self.now.as_micros()));
            }
            self.advance(STEP);
        }
        let seconds = MEASURED.as_secs_f64();
        let each = |total: u64| total as f64 / routers as f64 / seconds;
        ControlCost {
            routers,
            cpu_percent: 100.0 * self.cpu.as_secs_f64() / routers as f64 / seconds,
            bytes_per_second: each(self.bytes),
            messages_per_second: each(self.sent),
            fleet_reads_per_second: self.reads as f64 / seconds,
            memory_kb,
            slowest_change: slowest,
        }
    }

    fn change_tables(&mut self) {
        self.tables.revision += 1;
        self.tables.change_id = format!("{:016x}", self.tables.revision);
        let index = (self.tables.revision as usize) % self.tables.routes.len();
        if let Some(route) = self.tables.routes.values_mut().nth(index) {
            route.deadline_ms += 1;
        }
    }

    /// Advances the virtual clock by `span`, with messages and timers.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for (from, to, message) in std::mem::take(&mut self.messages) {
                self.handle_input(&to, ControlInput::Peer { from, message });
            }
            let now = self.now;
            let due = self.cores.iter().filter(|(_, core)| core.next_wake(now) <= now);
            let due: Vec<InstanceName> = due.map(|(router, _)| router.clone()).collect();
            due.iter().for_each(|router| self.handle_input(router, ControlInput::Tick));
        }
    }

    /// Passes an input to a router's core, and executes the outputs.
    fn handle_input(&mut self, router: &InstanceName, input: ControlInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(core) = self.cores.get_mut(router) else { return };
            let start = Instant::now();
            let outputs = core.step(self.now, input);
            self.cpu += start.elapsed();
            for output in outputs {
                match output {
                    ControlOutput::Send { to, message } => {
                        let body = PeerBody::Control(message.clone());
                        let frame = FrameCodec::encode(&PeerFrame { stamp: u64::MAX, body });
                        self.bytes += frame.expect("short frames").len() as u64;
                        self.sent += 1;
                        self.messages.push((router.clone(), to, message));
                    }
                    ControlOutput::ReadTables => {
                        self.reads += 1;
                        inputs.push(ControlInput::TablesRead(Some(self.tables.clone())));
                    }
                    ControlOutput::ReadInstances => {
                        self.reads += 1;
                        let list = Some((1, self.list.clone()));
                        inputs.push(ControlInput::InstancesRead(list));
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}
