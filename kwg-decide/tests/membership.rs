//! Membership: silent neighbours, refutation, successive runs of a router, and gossip hops.

use std::collections::{BTreeMap, BTreeSet};

use kwg_decide::{GraphMember, PeerGraph, PeerRecord, PeerRoster, PeerState, RosterOptions};
use kwg_model::{DomainName, InstanceName, MonoTime, RegionName};

fn name(text: &str) -> InstanceName {
    InstanceName::new(text).expect("valid")
}

fn record(instance: &str, incarnation: u64) -> PeerRecord {
    PeerRecord {
        instance: name(instance),
        incarnation,
        counter: 0,
        state: PeerState::Serving,
        shards: 1,
        domain: DomainName::new("ost-graz").expect("valid"),
        region: RegionName::new("ost").expect("valid"),
    }
}

fn roster(instance: &str, incarnation: u64) -> PeerRoster {
    PeerRoster::new(record(instance, incarnation), RosterOptions::default())
}

fn second(count: u64) -> MonoTime {
    MonoTime::from_millis(count * 1_000)
}

#[test]
fn a_silent_neighbour_is_unreachable_until_it_refutes_the_record() {
    let (mut one, mut two) = (roster("r1", 1), roster("r2", 2));
    let neighbours = BTreeSet::from([name("r2")]);
    one.merge(second(0), two.own().clone());
    one.expire(second(0), &neighbours);
    one.expire(second(4), &neighbours);
    assert_eq!(one.reachable().count(), 0);
    let silent_record = one.all().find(|record| record.instance == name("r2")).cloned();
    let silent_record = silent_record.expect("silent routers are kept");
    assert!(!one.merge(second(4), record("r2", 2)), "an old record does not restore the router");
    assert!(two.merge(second(4), silent_record), "the silent record is refuted");
    assert!(one.merge(second(4), two.own().clone()));
    assert_eq!(one.reachable().count(), 1);
}

#[test]
fn a_restarted_router_supersedes_its_previous_run() {
    let mut one = roster("r1", 1);
    let old = PeerRecord { counter: 5, ..record("r2", 20) };
    one.merge(second(0), old.clone());
    let mut restarted = roster("r2", 10);
    assert!(restarted.merge(second(0), old), "the record of the previous run is superseded");
    assert!(one.merge(second(0), restarted.own().clone()));
    let ended: Vec<_> = one.ended_incarnations().cloned().collect();
    assert_eq!(ended, [(name("r2"), 20)], "only the replaced run has ended");
}

#[test]
fn leaving_supersedes_serving() {
    let (mut one, mut two) = (roster("r1", 1), roster("r2", 2));
    one.merge(second(0), two.own().clone());
    two.set_own_state(PeerState::Leaving);
    assert!(one.merge(second(0), two.own().clone()));
    assert!(one.reachable().all(|peer| !peer.view().serving));
}

#[test]
fn the_graph_is_symmetric_and_has_a_small_diameter() {
    for (size, regions) in [(1, 1), (2, 2), (3, 2), (9, 2), (50, 2), (200, 5), (950, 5)] {
        let members: Vec<GraphMember> = (0..size)
            .map(|number| GraphMember {
                instance: name(&format!("r{number:04}")),
                region: RegionName::new(format!("region{}", number % regions)).ok(),
            })
            .collect();
        let graph: BTreeMap<&InstanceName, BTreeSet<InstanceName>> = members
            .iter()
            .map(|own| (&own.instance, PeerGraph::neighbours(own, &members)))
            .collect();
        for (own, neighbours) in &graph {
            assert!(neighbours.len() <= 8);
            assert!(neighbours.iter().all(|other| graph[other].contains(*own)));
        }
        let (mut seen, mut hops) = (BTreeSet::from([members[0].instance.clone()]), 0);
        while seen.len() < members.len() {
            let next: Vec<InstanceName> =
                seen.iter().flat_map(|own| graph[own].iter().cloned()).collect();
            seen.extend(next);
            hops += 1;
            // Updates must reach every router within 15 s, at one heartbeat per second.
            assert!(hops <= 14, "{size} routers are not reached within 14 hops");
        }
        println!("{size} routers in {regions} regions: {hops} hops");
    }
}
