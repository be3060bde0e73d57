//! Control cores of many routers in one process: monotonic table revisions, store outages, and the
//! propagation of changes.

mod control_fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use control_fleet::{ControlFleet, name, record, revision, row};
use kwg_flow::{ControlCore, ControlInput, ControlMessage, ControlOptions};
use kwg_model::InstanceKind;

#[test]
fn every_router_discovers_every_other() {
    let mut fleet = ControlFleet::new(50);
    fleet.advance(Duration::from_secs(15));
    assert!(fleet.cores.values().all(|core| core.status().peers == 49));
}

#[test]
fn a_table_change_is_active_everywhere_within_two_seconds_and_never_reverts() {
    let mut fleet = ControlFleet::new(50);
    fleet.advance(Duration::from_secs(5));
    fleet.tables = revision(2);
    fleet.advance(Duration::from_secs(2));
    assert_eq!(fleet.revisions(), BTreeSet::from([2]));
    // Neither a lagging replica of the store nor a delayed message restores the old revision.
    fleet.tables = revision(1);
    let late = ControlMessage::Tables(Arc::new(revision(1)));
    fleet.input(&name(3), ControlInput::Peer { from: name(4), message: late });
    fleet.advance(Duration::from_secs(5));
    assert_eq!(fleet.revisions(), BTreeSet::from([2]));
}

#[test]
fn a_router_that_starts_in_an_outage_gets_the_tables_from_a_peer() {
    let mut fleet = ControlFleet::new(9);
    fleet.advance(Duration::from_secs(3));
    let restarted = name(4);
    // It has read the instance list, and then the store becomes unavailable.
    let core = ControlCore::new(record(4, 2), ControlOptions::default(), 0);
    fleet.cores.insert(restarted.clone(), core);
    assert!(!fleet.cores[&restarted].status().ready, "not ready without tables");
    let list = fleet.list.clone();
    fleet.store_is_down = true;
    fleet.input(&restarted, ControlInput::InstancesRead(Some(list)));
    fleet.advance(Duration::from_secs(3));
    assert!(fleet.cores[&restarted].status().ready);
}

#[test]
fn a_leaving_target_is_in_every_snapshot_within_two_seconds() {
    let mut fleet = ControlFleet::new(50);
    fleet.advance(Duration::from_secs(5));
    fleet.list.0 = 2;
    fleet.list.1.pop();
    fleet.list.1.push(row("e1", InstanceKind::Target, true));
    fleet.advance(Duration::from_secs(2));
    assert!(fleet.snapshots.values().all(|snapshot| snapshot.leaving.len() == 1));
}

#[test]
fn a_silent_router_is_removed_by_all_and_readmitted() {
    let mut fleet = ControlFleet::new(20);
    fleet.advance(Duration::from_secs(5));
    fleet.partitioned.insert(name(7));
    fleet.advance(Duration::from_secs(8));
    let others = |fleet: &ControlFleet| -> BTreeSet<usize> {
        let others = fleet.cores.iter().filter(|(router, _)| **router != name(7));
        others.map(|(_, core)| core.status().peers).collect()
    };
    assert_eq!(others(&fleet), BTreeSet::from([18]));
    fleet.partitioned.clear();
    fleet.advance(Duration::from_secs(15));
    assert_eq!(others(&fleet), BTreeSet::from([19]));
}

#[test]
fn a_restarted_router_is_distinguished_from_its_previous_incarnation() {
    let mut fleet = ControlFleet::new(9);
    fleet.advance(Duration::from_secs(3));
    let core = ControlCore::new(record(4, 2), ControlOptions::default(), 0);
    fleet.cores.insert(name(4), core);
    fleet.advance(Duration::from_secs(5));
    for (router, snapshot) in fleet.snapshots.iter().filter(|(router, _)| **router != name(4)) {
        assert_eq!(snapshot.peers[&name(4)].incarnation, 2, "{router}");
        assert!(snapshot.ended.contains(&(name(4), 1)), "{router}");
    }
}

#[test]
fn a_handed_over_ledger_is_in_every_snapshot() {
    let mut fleet = ControlFleet::new(50);
    fleet.advance(Duration::from_secs(5));
    let address = |number, incarnation| kwg_model::HomeAddress {
        instance: name(number),
        incarnation,
        shard: 0,
    };
    let (home, successor) = (address(1, 1), address(2, 1));
    let input = ControlInput::Inherited { home: home.clone(), successor: successor.clone() };
    fleet.input(&name(2), input);
    fleet.advance(Duration::from_secs(5));
    assert!(fleet.snapshots.values().all(|snapshot| snapshot.moved.get(&home) == Some(&successor)));
}

/// Counts messages, not time: the number of messages a router sends does not grow with the fleet.
#[test]
fn messages_for_each_router_do_not_grow_with_the_fleet() {
    let mut per_router = Vec::new();
    for routers in [9, 50, 200] {
        let mut fleet = ControlFleet::new(routers);
        fleet.advance(Duration::from_secs(20));
        let (sent, reads) = (fleet.sent, fleet.reads);
        fleet.advance(Duration::from_secs(20));
        per_router.push((fleet.sent - sent) / routers);
        // The whole fleet makes at most 200 reads per second.
        assert!(fleet.reads - reads <= 20 * 200 + routers, "{routers} routers");
    }
    // Eight neighbours, one heartbeat per second to each.
    assert!(per_router.iter().all(|messages| *messages <= 8 * 20 + 8), "{per_router:?}");
}
