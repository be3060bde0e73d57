//! Version moves on the production control cores: good versions are completed, bad ones are braked
//! at every router and rolled back, despite router failures and store outages.

mod control_fleet;
mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use control_fleet::{ControlFleet, name};
use kwg_decide::{SampleKey, VersionSplit};
use kwg_flow::{ControlEvent, ControlInput, VersionSample};
use kwg_model::{MovePhase, RouteName, VersionMove, VersionName};
use support::{pool, tables};

/// Duration allowed for each move, in milliseconds.
const WINDOW_MS: u64 = 120_000;
const STEP: Duration = Duration::from_millis(100);
const ROUTERS: usize = 5;

struct MoveFleet {
    fleet: ControlFleet,
    answers: u64,
    /// Percentage of answers of the new version that fail.
    fail_percent: u64,
}

fn version(text: &str) -> VersionName {
    VersionName::new(text).expect("valid")
}

impl MoveFleet {
    fn new(fail_percent: u64) -> Self {
        let mut fleet = ControlFleet::new(ROUTERS);
        let mut tables = tables(1_000);
        let row = VersionMove::stage(version("v2"), 0, WINDOW_MS);
        tables.pools.get_mut(&pool()).expect("the pool").version_move = Some(row);
        fleet.tables = tables;
        Self { fleet, answers: 0, fail_percent }
    }

    /// Advances the clock while every router answers requests of both routes.
    fn advance(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.advance(STEP);
            let routers: Vec<_> = self.fleet.cores.keys().cloned().collect();
            for router in routers {
                for route in ["patches", "labels"] {
                    for _ in 0..4 {
                        self.answer(&router, route);
                    }
                }
            }
        }
    }

    fn answer(&mut self, router: &kwg_model::InstanceName, route: &str) {
        let Some(snapshot) = self.fleet.snapshots.get(router) else { return };
        let Some(row) = snapshot.tables.pools.get(&pool()) else { return };
        let is_braked = snapshot.braked.contains(&(pool(), version("v2")));
        let percent = u64::from(VersionSplit::percent(row));
        // A deterministic spread instead of random numbers: 37 and 100 have no common divisor.
        self.answers += 1;
        let is_new = !is_braked && self.answers * 37 % 100 < percent;
        let failed = is_new && self.answers * 13 % 100 < self.fail_percent;
        let key = SampleKey {
            pool: pool(),
            route: RouteName::new(route).expect("valid"),
            version: version(if is_new { "v2" } else { "v1" }),
        };
        let spread = (self.answers * 71 % 100) as f64;
        let sample = VersionSample { key, failed, micros_per_token: 100.0 + spread };
        self.fleet.input(router, ControlInput::Sample(sample));
    }

    fn phase(&self) -> MovePhase {
        self.row().phase
    }

    fn row(&self) -> VersionMove {
        self.fleet.tables.pools[&pool()].version_move.clone().expect("a move")
    }

    fn leader(&self) -> Option<kwg_model::InstanceName> {
        let mut leads = self.fleet.cores.iter().filter(|(_, core)| core.status().leads);
        let leader = leads.next().map(|(router, _)| router.clone());
        assert!(leads.next().is_none(), "one leader at a time");
        leader
    }

    fn braked_at(&self) -> BTreeSet<String> {
        let cores = self.fleet.cores.iter();
        let braked = cores.filter(|(_, core)| !core.status().braked.is_empty());
        braked.map(|(router, _)| router.to_string()).collect()
    }
}

#[test]
fn a_good_version_is_rolled_out_by_the_deadline() {
    let mut moves = MoveFleet::new(0);
    moves.advance(Duration::from_millis(WINDOW_MS));
    assert_eq!(moves.phase(), MovePhase::Done);
    assert_eq!(moves.fleet.tables.pools[&pool()].version, version("v2"));
    let verdict = moves.row().verdict.expect("the verdict is stored");
    assert_eq!(verdict.reason, "proved good");
    assert!(verdict.evidence.contains("answers"), "{}", verdict.evidence);
}

#[test]
fn a_bad_version_is_braked_everywhere_within_a_second_and_rolled_back() {
    let mut moves = MoveFleet::new(40);
    // The leader may roll the move back in the step in which the version is judged bad.
    while moves.braked_at().is_empty() && !moves.row().has_ended() {
        assert!(moves.fleet.now.as_millis() < WINDOW_MS, "the version was not judged bad in time");
        moves.advance(STEP);
    }
    let is_early = matches!(moves.phase(), MovePhase::Canary | MovePhase::TakenBack);
    assert!(is_early, "{:?}", moves.phase());
    moves.advance(Duration::from_secs(1));
    assert!(moves.braked_at().len() == ROUTERS || moves.phase() == MovePhase::TakenBack);
    moves.advance(Duration::from_secs(5));
    assert_eq!(moves.phase(), MovePhase::TakenBack);
    assert_eq!(moves.fleet.tables.pools[&pool()].version, version("v1"));
}

#[test]
fn with_the_store_down_a_bad_version_is_braked_and_nothing_is_ramped() {
    let mut moves = MoveFleet::new(0);
    while moves.phase() != MovePhase::Canary {
        moves.advance(STEP);
    }
    moves.fleet.store_is_down = true;
    moves.fail_percent = 40;
    moves.advance(Duration::from_secs(60));
    assert_eq!(moves.phase(), MovePhase::Canary, "no phase change without the store");
    assert_eq!(moves.braked_at().len(), ROUTERS);
    moves.fleet.store_is_down = false;
    moves.advance(Duration::from_secs(20));
    assert_eq!(moves.phase(), MovePhase::TakenBack);
}

#[test]
fn another_router_takes_over_when_the_leader_fails() {
    let mut moves = MoveFleet::new(0);
    moves.advance(Duration::from_secs(30));
    let first = moves.leader().expect("a leader");
    moves.fleet.cores.remove(&first);
    moves.fleet.snapshots.remove(&first);
    moves.advance(Duration::from_secs(15));
    let second = moves.leader().expect("a new leader");
    assert_ne!(first, second);
    moves.advance(Duration::from_millis(WINDOW_MS - 45_000));
    assert_eq!(moves.phase(), MovePhase::Done);
}

#[test]
fn lost_store_replies_never_cause_a_second_leader() {
    let mut moves = MoveFleet::new(0);
    for _ in 0..20 {
        moves.fleet.lose_answers = 2;
        moves.advance(Duration::from_secs(6));
        // `leader` itself fails the test if two routers lead.
        let _ = moves.leader();
    }
    assert!(moves.row().has_ended());
}

#[test]
fn a_move_without_traffic_is_rolled_back_at_the_deadline() {
    let mut moves = MoveFleet::new(0);
    moves.fleet.advance(Duration::from_millis(WINDOW_MS + 5_000));
    assert_eq!(moves.phase(), MovePhase::TakenBack);
    let verdict = moves.row().verdict.expect("the verdict is stored");
    assert_eq!(verdict.reason, "the set time came without proof of good");
}

#[test]
fn every_phase_emits_an_event() {
    let mut moves = MoveFleet::new(0);
    moves.advance(Duration::from_millis(WINDOW_MS));
    let phases = moves.fleet.events.iter().filter_map(|(_, event)| match event {
        ControlEvent::MoveStep { row, .. } => Some(format!("{:?}", row.phase)),
        _ => None,
    });
    let phases: BTreeSet<String> = phases.collect();
    for phase in ["Loading", "Canary", "Ramping(10)", "Ramping(100)", "Soaking", "Done"] {
        assert!(phases.contains(phase), "no event for {phase}: {phases:?}");
    }
}

#[test]
fn a_request_that_crashed_two_targets_is_refused_by_every_router() {
    let mut fleet = ControlFleet::new(ROUTERS);
    fleet.advance(Duration::from_secs(3));
    let crash = |target: &str| ControlInput::Crash {
        fingerprint: 7,
        target: kwg_model::TargetName::new(target).expect("valid"),
    };
    fleet.input(&name(0), crash("e1"));
    fleet.advance(Duration::from_secs(2));
    let refusing = |fleet: &ControlFleet| {
        fleet.snapshots.values().filter(|snapshot| snapshot.poison.contains(&7)).count()
    };
    assert_eq!(refusing(&fleet), 0, "one crash may be the target's fault");
    fleet.input(&name(1), crash("e2"));
    fleet.advance(Duration::from_secs(2));
    assert_eq!(refusing(&fleet), ROUTERS);
    fleet.advance(Duration::from_secs(601));
    assert_eq!(refusing(&fleet), 0, "the fingerprint expires");
}
