//! Instances that copy the store's table of targets: a target that leaves is not used for longer than the
//! limit for changes to take effect.

#[path = "support/replica_fleet.rs"]
mod replica_fleet;
#[path = "support/store_model.rs"]
mod store_model;

use std::time::Duration;

use replica_fleet::ReplicaFleet;

const SECOND: Duration = Duration::from_secs(1);
/// Time after a disturbance of the store from which the limits hold.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Time within which a change is known: the limit of 2.5 s, less what follows the knowledge.
const KNOWN_LIMIT: Duration = Duration::from_secs(2);

fn fleet(size: usize) -> ReplicaFleet {
    let mut fleet = ReplicaFleet::new(size, &["t1", "t2", "t3"], 1);
    fleet.run(SECOND);
    fleet
}

#[test]
fn an_instance_that_starts_after_a_removal_pulls_no_copies() {
    let mut fleet = fleet(3);
    fleet.store.write("t3", None);
    fleet.run(SECOND);
    fleet.restart(2);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.nodes[2].pulls, 0);
}

#[test]
fn the_copy_of_a_peer_that_lags_does_not_bring_a_removed_target_back() {
    let mut fleet = fleet(2);
    fleet.nodes[0].is_cut = true;
    fleet.store.write("t3", None);
    fleet.restart(1);
    fleet.run(SECOND / 10);
    for _ in 0..500 {
        fleet.step();
        assert!(!fleet.nodes[1].uses("t3"), "back at {:?}", fleet.now);
    }
}

#[test]
fn a_poll_that_an_instance_breaks_off_itself_is_no_outage_of_the_store() {
    let mut fleet = fleet(3);
    fleet.kill_connection(2);
    fleet.store.write("t4", Some(b"ready"));
    for _ in 0..300 {
        fleet.step();
        assert!(!fleet.nodes[2].store_lost, "lost at {:?}", fleet.now);
    }
    assert!(fleet.nodes[2].uses("t4"));
    fleet.store.write("t3", None);
    fleet.run(SECOND / 2);
    assert_eq!(fleet.nodes[2].outages, 0);
    assert!(!fleet.nodes[2].uses("t3"), "kept for an outage that was none");
}

#[test]
fn a_poll_that_an_instance_breaks_off_after_an_outage_that_peers_noticed_ends_that_outage() {
    let mut fleet = fleet(3);
    fleet.run(2 * SECOND);
    fleet.store.is_silent = true;
    fleet.kill_connection(0);
    fleet.kill_connection(1);
    fleet.run(4 * SECOND);
    fleet.store.is_silent = false;
    fleet.kill_connection(2);
    fleet.store.write("t3", None);
    fleet.run(2 * SECOND);
    assert_eq!(fleet.nodes[2].outages, 1);
}

#[test]
fn a_removal_that_only_a_full_reading_shows_reaches_an_instance_that_is_cut_off() {
    let mut fleet = fleet(3);
    fleet.nodes[2].is_cut = true;
    fleet.kill_connection(2);
    fleet.run(3 * SECOND);
    fleet.store.write("t3", None);
    fleet.store.compact();
    // The readings count as complete after 5 s.
    fleet.run(7 * SECOND);
    assert!(!fleet.nodes[0].uses("t3") && !fleet.nodes[1].uses("t3"));
    assert!(!fleet.nodes[2].uses("t3"));
}

#[test]
fn a_removal_reaches_an_instance_that_is_cut_off_although_all_who_saw_it_start_again() {
    let mut fleet = fleet(3);
    fleet.nodes[2].is_cut = true;
    fleet.kill_connection(2);
    fleet.run(4 * SECOND);
    fleet.store.write("t3", None);
    fleet.run(SECOND / 2);
    fleet.restart(0);
    fleet.restart(1);
    fleet.run(2 * SECOND);
    assert!(!fleet.nodes[2].uses("t3"));
}

#[test]
fn a_target_that_leaves_after_a_silent_outage_is_known_within_the_limit() {
    let mut fleet = fleet(9);
    fleet.run(4 * SECOND);
    fleet.store.is_silent = true;
    // Long enough for the polls to time out, so that the next calls are sent in the silence.
    fleet.run(13 * SECOND / 2);
    fleet.store.is_silent = false;
    fleet.run(CONTACT_TIME);
    fleet.store.write("t3", Some(b"draining"));
    fleet.run(KNOWN_LIMIT);
    assert!(fleet.nodes.iter().all(|node| !node.uses("t3")));
}

#[test]
fn polls_that_are_sent_in_a_short_silence_do_not_hide_a_change_for_longer_than_the_limit() {
    let mut fleet = fleet(9);
    fleet.store.write("t4", Some(b"ready"));
    while !fleet.nodes.iter().all(|node| node.uses("t4")) {
        fleet.step();
    }
    // The next polls are sent in the silence.
    fleet.store.is_silent = true;
    fleet.run(SECOND / 2);
    fleet.store.is_silent = false;
    fleet.run(CONTACT_TIME);
    fleet.store.write("t3", Some(b"draining"));
    fleet.run(KNOWN_LIMIT);
    assert!(fleet.nodes.iter().all(|node| !node.uses("t3")));
}

#[test]
fn a_grace_period_after_an_outage_that_was_noticed_late_keeps_no_target_beyond_the_limit() {
    // Polls end, or something changes, at any moment of the outage, so that replies are lost.
    for lead in 0..30 {
        let mut fleet = fleet(9);
        fleet.run(lead * SECOND / 10);
        fleet.store.is_silent = true;
        fleet.store.write("t4", Some(b"ready"));
        fleet.run(SECOND / 2);
        fleet.store.is_silent = false;
        fleet.run(CONTACT_TIME);
        fleet.store.write("t3", None);
        fleet.run(KNOWN_LIMIT);
        let uses = fleet.nodes.iter().any(|node| node.uses("t3"));
        assert!(!uses, "{lead}: at {:?}", fleet.now);
    }
}
