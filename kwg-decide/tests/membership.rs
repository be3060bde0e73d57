//! Membership: silence, refutation, runs that follow each other, and the spread of news.

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
fn a_silent_neighbour_is_gone_and_comes_back_by_its_own_word() {
    let (mut one, mut two) = (roster("r1", 1), roster("r2", 2));
    let neighbours = BTreeSet::from([name("r2")]);
    one.merge(second(0), two.own().clone());
    one.expire(second(0), &neighbours);
    one.expire(second(4), &neighbours);
    assert_eq!(one.present().count(), 0);
    let rumour = one.all().find(|record| record.instance == name("r2")).cloned();
    let rumour = rumour.expect("silent routers are remembered");
    assert!(!one.merge(second(4), record("r2", 2)), "an old record does not revive");
    assert!(two.merge(second(4), rumour), "the rumour is refuted");
    assert!(one.merge(second(4), two.own().clone()));
    assert_eq!(one.present().count(), 1);
}

#[test]
fn a_restarted_router_outbids_its_old_run() {
    let mut one = roster("r1", 1);
    let old = PeerRecord { counter: 5, ..record("r2", 20) };
    one.merge(second(0), old.clone());
    let mut fresh = roster("r2", 10);
    assert!(fresh.merge(second(0), old), "the old run's record is outbid");
    assert!(one.merge(second(0), fresh.own().clone()));
    let ended: Vec<_> = one.ended().cloned().collect();
    assert_eq!(ended, [(name("r2"), 20)], "just the run that was followed has ended");
}

#[test]
fn leaving_supersedes_serving() {
    let (mut one, mut two) = (roster("r1", 1), roster("r2", 2));
    one.merge(second(0), two.own().clone());
    two.set_own_state(PeerState::Leaving);
    assert!(one.merge(second(0), two.own().clone()));
    assert!(one.present().all(|peer| !peer.view().serving));
}

#[test]
fn graphs_are_symmetric_and_news_reaches_everybody_in_few_hops() {
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
            // At a heartbeat a second and 15 s for news to be everywhere.
            assert!(hops <= 14, "{size} routers are within 14 hops");
        }
        println!("{size} routers in {regions} regions: {hops} hops");
    }
}
