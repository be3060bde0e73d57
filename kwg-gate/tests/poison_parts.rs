//! One part of a prompt ends each target that begins to answer a request with it: such requests are stopped, and those
//! that share their caller and their other parts are served.

#[path = "support/digest_node.rs"]
mod digest_node;
#[path = "support/fleet_record.rs"]
mod fleet_record;
#[path = "support/model_gateway.rs"]
mod model_gateway;
#[path = "support/part_site.rs"]
mod part_site;
#[path = "support/poison_fleet.rs"]
mod poison_fleet;
#[path = "support/poison_site.rs"]
mod poison_site;
#[path = "support/store_model.rs"]
mod store_model;

use part_site::{Callers, FIRST, POISON, POPULAR, RARE, part};
use poison_site::{ONCE, STREAM};

/// Sizes of fleets: domains, instances, targets of each service.
const SMALL: (usize, usize, usize) = (3, 9, 12);
const GROWN: (usize, usize, usize) = (6, 84, 60);
const LARGE: (usize, usize, usize) = (6, 295, 204);

#[test]
fn requests_with_a_part_that_ends_targets_are_stopped_and_others_are_served() {
    for (size, rate) in [(SMALL, 1.3), (GROWN, 6.0), (LARGE, 17.0)] {
        let routes = if size == LARGE { &[ONCE][..] } else { &[ONCE, STREAM] };
        for route in routes {
            let mut callers = Callers::start(size, 3);
            callers.route = route;
            callers.poison(&[POISON], rate);
            callers.run_ms(12_000);
            callers.assert_stopped(&[POISON]);
            callers.assert_others_served();
        }
    }
}

#[test]
fn a_part_that_comes_once_in_five_seconds_is_stopped_beside_a_busy_part() {
    let mut callers = Callers::start(SMALL, 3);
    callers.route = ONCE;
    callers.poison(&[POISON], 0.2);
    callers.run_ms(100_000);
    callers.assert_stopped(&[POISON]);
    callers.assert_others_served();
}

#[test]
fn two_parts_that_end_targets_are_both_stopped() {
    for (size, rate) in [(SMALL, 1.3), (GROWN, 6.0)] {
        let mut callers = Callers::start(size, 4);
        callers.poison(&[POISON], rate);
        callers.poison(&[part("poison-2")], rate);
        callers.run_ms(15_000);
        callers.assert_stopped(&[POISON]);
        callers.assert_stopped(&[part("poison-2")]);
        callers.assert_others_served();
    }
}

#[test]
fn a_part_and_a_content_that_end_targets_are_both_stopped() {
    let mut callers = Callers::start(SMALL, 5);
    callers.poison(&[POISON], 1.3);
    callers.poison_content(7, &[FIRST, RARE], 1.0);
    callers.run_ms(30_000);
    callers.assert_stopped(&[POISON]);
    assert!(callers.fleet.record.late_sends(7, part_site::CONTACT_TIME) <= part_site::MAX_LATE);
    callers.assert_others_served();
}

#[test]
fn a_part_that_was_answered_before_is_stopped_once_it_ends_targets() {
    let mut callers = Callers::start(SMALL, 6);
    callers.calls(&[FIRST, POISON], 4.0);
    callers.run_ms(5_000);
    callers.poison(&[POISON], 0.0);
    callers.run_ms(12_000);
    // Its answers leave a doubt.
    callers.assert_stopped_but_for_trials(&[POISON]);
    callers.assert_others_served();
}

#[test]
fn a_part_is_stopped_although_instances_start_again_and_messages_are_lost() {
    let mut callers = Callers::start(SMALL, 7);
    callers.fleet.loss = 0.1;
    callers.poison(&[POISON], 1.3);
    callers.run_ms(4_000);
    for name in callers.fleet.names() {
        callers.fleet.restart(&name);
        callers.run_ms(700);
    }
    callers.run_ms(3_000);
    callers.assert_stopped(&[POISON]);
    callers.assert_others_served();
}

#[test]
fn a_part_is_stopped_anew_after_all_instances_have_started_again() {
    let mut callers = Callers::start(SMALL, 8);
    callers.poison(&[POISON], 1.3);
    callers.run_ms(5_000);
    let before = callers.ends(&[POISON]).len();
    callers.fleet.names().iter().for_each(|name| callers.fleet.restart(name));
    callers.run_ms(12_000);
    let ends = callers.ends(&[POISON]);
    let later = ends.len() - before;
    assert!(later <= 8, "{later} more ends: {ends:?}");
    callers.assert_part_served(&[FIRST, POPULAR]);
}
