//! Open connections to the store go silent for good while new ones work, and a configuration follows. Each
//! test guards against an instance that uses the older configuration because no wait ends in time.

#[path = "support/silent_fleet.rs"]
mod silent_fleet;
#[path = "support/store_model.rs"]
mod store_model;

use std::time::Duration;

use kwg_model::MonoTime;
use silent_fleet::{SilentFleet, TABLES, TICK};

const SECOND: Duration = Duration::from_secs(1);
const SIZE: usize = 9;
/// Time from a silence to the moment at which the next row is in force everywhere: 4.0 s are allowed, and the
/// rest is for the way to the traffic thread and for slow instances.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_400);
/// Time after which a row is in force if no connection is silent.
const CHANGE_LIMIT: Duration = Duration::from_millis(1_100);
/// Time after which links between instances that have gone silent are replaced: the idle time of 2.0 s counts
/// from the next digest, and a new link is made in less than 0.1 s.
const PEER_LIMIT: Duration = Duration::from_millis(2_300);
/// Most calls of a quiet hour for one table; 898 and 1,434 before polls ended in time for this limit.
const QUIET_CALLS: u64 = 1_600;

/// A fleet whose instances have all just received a row and have sent their polls at the same moment.
fn answered_fleet(seed: u64, lead: Duration) -> SilentFleet {
    let mut fleet = SilentFleet::new(SIZE, seed);
    fleet.run(lead);
    for table in 0..TABLES {
        let revision = fleet.write(table);
        while !fleet.all_have(table, revision) {
            fleet.step();
        }
    }
    fleet
}

/// Writes a row of a table at `written`, and checks that it is in force everywhere in time after the silence.
fn check_next_row(fleet: &mut SilentFleet, table: usize, silence: MonoTime, delay: Duration) {
    fleet.run(delay);
    let (written, revision) = (fleet.now, fleet.write(table));
    let limit = (silence + SILENCE_LIMIT).max(written + CHANGE_LIMIT);
    while !fleet.all_have(table, revision) {
        assert!(
            fleet.now <= limit,
            "table {table}, row written {:?} after the silence: not in force after {:?}",
            written.since(silence),
            fleet.now.since(silence)
        );
        fleet.step();
    }
}

/// Plays a silence at each of many moments, with rows that follow it soon or late.
fn play_silences(silence: impl Fn(&mut SilentFleet)) {
    let delays = [TICK, SECOND / 5, SECOND, 2 * SECOND, 3 * SECOND];
    for (seed, lead) in (0..20).map(|number| (number, 8 * SECOND + SECOND / 7 * number as u32)) {
        for (table, delay) in
            (0..TABLES).flat_map(|table| delays.iter().map(move |delay| (table, *delay)))
        {
            let mut fleet = answered_fleet(seed, lead);
            // The polls are on their way at the silence, or have been for a while.
            fleet.run(TICK * 12 * (seed as u32));
            silence(&mut fleet);
            let at = fleet.now;
            check_next_row(&mut fleet, table, at, delay);
        }
    }
}

#[test]
fn a_row_is_in_force_in_time_after_all_connections_went_silent() {
    play_silences(|fleet| fleet.silence(|_, _| true));
}

#[test]
fn a_row_is_in_force_in_time_after_the_connections_of_one_table_went_silent() {
    for table in 0..TABLES {
        play_silences(|fleet| fleet.silence(|_, hit| hit == table));
    }
}

#[test]
fn a_row_is_in_force_in_time_after_a_share_of_the_connections_went_silent() {
    for share in [0.1, 0.35, 0.7, 0.9] {
        play_silences(|fleet| {
            let hit: Vec<bool> = (0..SIZE * TABLES).map(|_| fleet.draw() < share).collect();
            fleet.silence(|node, table| hit[node * TABLES + table]);
        });
    }
}

#[test]
fn a_row_is_in_force_in_time_after_connections_to_store_and_peers_went_silent() {
    play_silences(|fleet| {
        fleet.silence_peers(PEER_LIMIT);
        fleet.silence(|_, _| true);
    });
    // No peer is heard at all: each instance ends its own waits.
    play_silences(|fleet| {
        fleet.silence_peers(60 * SECOND);
        fleet.silence(|node, table| (node + table) % 3 != 0);
    });
}

#[test]
fn a_row_is_in_force_in_time_after_a_second_silence() {
    for tenths in 0..50 {
        for peers in [Duration::ZERO, PEER_LIMIT, 60 * SECOND] {
            let mut fleet = answered_fleet(tenths.into(), 9 * SECOND);
            fleet.silence_peers(peers);
            fleet.silence(|_, _| true);
            fleet.run(SECOND / 10 * tenths);
            fleet.silence_peers(peers);
            fleet.silence(|_, _| true);
            let at = fleet.now;
            check_next_row(&mut fleet, 0, at, SECOND / 5);
        }
    }
}

#[test]
fn a_row_is_in_force_in_time_after_a_silence_while_tables_are_read_and_checked() {
    // The first reading, the checks after 0.7, 2 and 5 s, and the polls between them.
    for hundredths in 0..120 {
        let mut fleet = SilentFleet::new(SIZE, hundredths.into());
        fleet.run(SECOND / 20 * hundredths);
        fleet.silence_peers(60 * SECOND);
        fleet.silence(|_, _| true);
        let at = fleet.now;
        check_next_row(&mut fleet, hundredths as usize % TABLES, at, SECOND / 10);
    }
}

#[test]
fn a_row_reaches_instances_without_a_feed_in_time_after_a_silence() {
    for seed in 0..40 {
        let mut fleet = SilentFleet::with_readers(SIZE, 2, seed);
        fleet.run(9 * SECOND + TICK * 7 * seed as u32);
        fleet.silence_peers(PEER_LIMIT);
        fleet.silence(|_, _| true);
        let at = fleet.now;
        check_next_row(&mut fleet, seed as usize % TABLES, at, SECOND / 5);
    }
}

#[test]
fn an_hour_of_quiet_costs_few_calls() {
    let mut fleet = SilentFleet::new(1, 3);
    fleet.run(20 * SECOND);
    fleet.calls = [0; TABLES];
    fleet.run(3_600 * SECOND);
    println!("calls in an hour of quiet, by table: {:?}", fleet.calls);
    assert!(fleet.calls.iter().all(|calls| *calls <= QUIET_CALLS), "{:?}", fleet.calls);
}
