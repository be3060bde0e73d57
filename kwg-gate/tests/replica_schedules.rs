//! Random schedules of cuts, outages, restarts, dead connections, lost messages, stale readings and dropped
//! histories: no row goes back, and a target that leaves, or a new configuration, is known within the limit.

#[path = "support/replica_fleet.rs"]
mod replica_fleet;
#[path = "support/store_model.rs"]
mod store_model;

use std::collections::BTreeMap;
use std::time::Duration;

use kwg_model::MonoTime;
use replica_fleet::{ReplicaFleet, ReplicaNode, TICK};
use store_model::SeededDraws;

/// Time after which no request may be sent to a target that has left.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);
/// Time for what follows the knowledge: requests that are already on their way, and slow instances.
const MARGIN: Duration = Duration::from_millis(500);
/// Time after which an instance that the store answers has to know of a change.
const KNOWN_LIMIT: Duration = DRAIN_LIMIT.saturating_sub(MARGIN);
/// Time after a disturbance of the store during which the limit does not hold.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);
/// Time in which the feeds tell nothing, before the history is dropped and they are cut.
const GAP_TIME: Duration = Duration::from_secs(1);
const SPAN: Duration = Duration::from_secs(40);

/// A disturbance, or a change of the table.
#[derive(Debug, Clone, Copy)]
enum FleetEvent {
    Drain,
    Remove,
    Add,
    ChangeElsewhere,
    Configure,
    Restart,
    Cut,
    DeadConnection,
    Outage,
    Compact,
    Gap,
}

const EVENTS: [(FleetEvent, f64); 11] = [
    (FleetEvent::Drain, 0.2),
    (FleetEvent::Remove, 0.15),
    (FleetEvent::Add, 0.2),
    (FleetEvent::ChangeElsewhere, 1.0),
    (FleetEvent::Configure, 0.4),
    (FleetEvent::Restart, 0.15),
    (FleetEvent::Cut, 0.1),
    (FleetEvent::DeadConnection, 0.15),
    (FleetEvent::Outage, 0.03),
    (FleetEvent::Compact, 0.03),
    (FleetEvent::Gap, 0.04),
];

/// Key of the row that each configuration replaces.
const CONFIGURATION: &str = "configuration";

/// A schedule that is being played.
struct Schedule {
    fleet: ReplicaFleet,
    draws: SeededDraws,
    targets: Vec<String>,
    next_target: u32,
    /// When targets left, by name.
    left: BTreeMap<String, MonoTime>,
    /// When configurations were written, by revision.
    configured: BTreeMap<u64, MonoTime>,
    /// Until when each instance is cut off from the store.
    cut_until: Vec<MonoTime>,
    outage_until: MonoTime,
    /// The end of a gap, and that of the stale readings after it.
    gap: Option<(MonoTime, MonoTime)>,
    /// When the store was last disturbed.
    disturbed: MonoTime,
    restarted: Vec<MonoTime>,
    /// When the connection of each instance to the store last went silent, or was cut.
    unheard: Vec<MonoTime>,
    /// Since when at least one instance follows the store undisturbed.
    followed_since: Option<MonoTime>,
}

impl Schedule {
    fn new(size: usize, seed: u64) -> Self {
        let targets: Vec<String> = (0..8).map(|number| format!("t{number}")).collect();
        let names: Vec<&str> = targets.iter().map(String::as_str).collect();
        let mut fleet = ReplicaFleet::new(size, &names, seed);
        fleet.loss = 0.05;
        fleet.run(Duration::from_secs(1));
        Self {
            fleet,
            draws: SeededDraws::new(seed + 1_000),
            targets,
            next_target: 8,
            left: BTreeMap::new(),
            configured: BTreeMap::new(),
            cut_until: vec![MonoTime::ZERO; size],
            outage_until: MonoTime::ZERO,
            gap: None,
            disturbed: MonoTime::ZERO,
            restarted: vec![MonoTime::ZERO; size],
            unheard: vec![MonoTime::ZERO; size],
            followed_since: None,
        }
    }

    fn seconds(&mut self, most: f64) -> Duration {
        Duration::from_secs_f64(0.5 + self.draws.next() * most)
    }

    fn play(&mut self, event: FleetEvent) {
        let now = self.fleet.now;
        let node = self.draws.below(self.fleet.nodes.len());
        match event {
            FleetEvent::Drain | FleetEvent::Remove if self.targets.len() > 2 => {
                let target = self.targets.swap_remove(self.draws.below(self.targets.len()));
                let is_drain = matches!(event, FleetEvent::Drain);
                self.fleet.store.write(&target, is_drain.then_some(b"draining".as_slice()));
                self.left.insert(target, now);
            }
            FleetEvent::Drain | FleetEvent::Remove => {}
            FleetEvent::Add => {
                let target = format!("t{}", self.next_target);
                self.next_target += 1;
                self.fleet.store.write(&target, Some(b"ready"));
                self.targets.push(target);
            }
            FleetEvent::Configure => {
                let revision = self.fleet.store.write(CONFIGURATION, Some(b"ready"));
                self.configured.insert(revision, now);
            }
            FleetEvent::ChangeElsewhere => self.fleet.store.write_elsewhere(),
            FleetEvent::Restart => {
                self.fleet.restart(node);
                self.restarted[node] = now;
            }
            FleetEvent::Cut => {
                // One instance at least reaches the store.
                let is_cut = |until: &&MonoTime| **until > now;
                if self.cut_until.iter().filter(is_cut).count() + 1 < self.cut_until.len() {
                    let span = self.seconds(8.0);
                    self.cut_until[node] = self.cut_until[node].max(now + span);
                }
            }
            FleetEvent::DeadConnection => {
                self.fleet.kill_connection(node);
                self.unheard[node] = now;
            }
            FleetEvent::Outage => {
                let span = self.seconds(6.0);
                self.outage_until = self.outage_until.max(now + span);
            }
            FleetEvent::Compact => {
                self.fleet.store.compact();
                self.disturbed = now;
            }
            FleetEvent::Gap if self.gap.is_none() => {
                let end = now + GAP_TIME;
                self.gap = Some((end, end + self.seconds(7.5)));
                self.fleet.store.is_deaf = true;
                self.fleet.store.freeze_reads();
            }
            FleetEvent::Gap => {}
        }
    }

    /// Ends the gap, and later the staleness after it.
    fn step_gap(&mut self) {
        let Some((end, sound)) = self.gap else { return };
        let now = self.fleet.now;
        self.disturbed = now;
        if self.fleet.store.is_deaf && now >= end {
            self.fleet.store.is_deaf = false;
            self.fleet.store.compact();
            self.fleet.break_connections();
        }
        if now >= sound {
            self.fleet.store.thaw_reads();
            self.gap = None;
        }
    }

    fn step(&mut self) {
        for (event, rate) in EVENTS {
            if self.draws.next() < rate * TICK.as_secs_f64() {
                self.play(event);
            }
        }
        self.step_gap();
        let now = self.fleet.now;
        self.fleet.store.is_silent = now < self.outage_until;
        if self.fleet.store.is_silent {
            self.disturbed = now;
        }
        for (node, until) in self.fleet.nodes.iter_mut().zip(&self.cut_until) {
            node.is_cut = now < *until;
        }
        for (unheard, until) in self.unheard.iter_mut().zip(&self.cut_until) {
            if now < *until {
                *unheard = now;
            }
        }
        let is_undisturbed = |node: usize| self.is_undisturbed(node, now);
        let follows = (0..self.unheard.len()).any(is_undisturbed);
        self.followed_since = follows.then(|| self.followed_since.unwrap_or(now));
        self.fleet.step();
    }

    /// Whether nothing has come between an instance and the store for the contact time.
    fn is_undisturbed(&self, node: usize, now: MonoTime) -> bool {
        let disturbed = self.unheard[node].max(self.restarted[node]);
        now.since(disturbed) >= CONTACT_TIME
    }

    fn describe(&self, number: usize, target: &str) -> String {
        let node = &self.fleet.nodes[number];
        let mirror = node.replica.mirror();
        let covered = |node: &ReplicaNode| {
            let mirror = node.replica.mirror();
            (mirror.covered_revision(), mirror.revision(), node.store_lost, node.pulls)
        };
        let all: Vec<_> = self.fleet.nodes.iter().map(covered).collect();
        format!(
            "held until {:?}, row revision {}, covered {}, of the store {}, cut {}, unheard {:?}, restarted {:?}, \
             store disturbed {:?}, all (covered, followed to, store lost, pulls) {all:?}",
            node.registry.held_until(&kwg_gate::TargetId::new(target)),
            mirror.row_revision(target),
            mirror.covered_revision(),
            self.fleet.store.revision,
            node.is_cut,
            self.unheard[number],
            self.restarted[number],
            self.disturbed
        )
    }

    /// Whether an instance must know of a change that was written at that time.
    fn must_know(&self, number: usize, written: MonoTime) -> bool {
        let now = self.fleet.now;
        // Bounds hold from the contact time after a disturbance of the store.
        let disturbed = self.disturbed.max(self.fleet.history_missed);
        // Somebody must have been able to know: the instance itself or one that it hears.
        let heard = self.followed_since.is_some_and(|since| since <= written)
            || self.is_undisturbed(number, written) && self.unheard[number] <= written;
        let (settled, limit) = match self.is_undisturbed(number, now) {
            // The contact time and the limit do not add up.
            true => (disturbed + (CONTACT_TIME - KNOWN_LIMIT), KNOWN_LIMIT),
            // An instance that was cut off itself may keep a target for the grace period.
            false => (disturbed + CONTACT_TIME, DRAIN_LIMIT),
        };
        now.since(settled.max(written)) > limit && heard
    }

    /// Checks that no instance uses a target whose leaving it must know, or a configuration that is older than
    /// the one that it must know.
    fn check(&self) {
        let now = self.fleet.now;
        for (number, node) in self.fleet.nodes.iter().enumerate() {
            for (target, left) in &self.left {
                assert!(
                    !node.uses(target) || !self.must_know(number, *left),
                    "instance {number} uses {target} {:?} after it left, at {now:?}: {}",
                    now.since(*left),
                    self.describe(number, target)
                );
            }
            let in_force = node.replica.mirror().row_revision(CONFIGURATION);
            // Without any table an instance refuses requests, and is not ready.
            if !node.replica.mirror().is_filled() {
                continue;
            }
            for (revision, written) in self.configured.range(in_force + 1..) {
                assert!(
                    !self.must_know(number, *written),
                    "instance {number} has configuration {in_force}, and {revision} is there since {:?}, at \
                     {now:?}: {}",
                    now.since(*written),
                    self.describe(number, CONFIGURATION)
                );
            }
        }
    }
}

fn play_schedules(size: usize, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut schedule = Schedule::new(size, seed);
        let end = schedule.fleet.now + SPAN;
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            while schedule.fleet.now < end {
                schedule.step();
                schedule.check();
            }
        }));
        assert!(result.is_ok(), "size {size}, seed {seed}");
    }
}

/// The seeds to play: those of the variable `REPLICA_SEEDS`, as in `0..500`, or these.
fn seeds(usual: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("REPLICA_SEEDS") else { return usual };
    let (first, end) = text.split_once("..").expect("a range such as 0..500");
    first.parse().expect("a number")..end.parse().expect("a number")
}

#[test]
fn two_instances_know_within_the_limit_that_a_target_leaves() {
    play_schedules(2, seeds(0..100));
}

#[test]
fn nine_instances_know_within_the_limit_that_a_target_leaves() {
    play_schedules(9, seeds(90..100));
}
