//! A whole failure domain returns cold while requests wait: its engines tolerate few requests a second from all instances
//! together, and all instances see them empty at the same moment. An engine that gets more crashes again.

use std::time::Duration;

use kwg_gate::ColdRule;

use cold_fleet::ColdFleet;
use cold_site::{BOUND, COLD_MS, COLD_PER_S};

#[path = "support/cold_fleet.rs"]
mod cold_fleet;
#[path = "support/cold_site.rs"]
mod cold_site;

/// Instances and failure domains of the fleets.
const FLEETS: [(usize, usize); 3] = [(9, 3), (89, 6), (300, 6)];

fn rule() -> Option<ColdRule> {
    ColdRule::of(Duration::from_millis(COLD_MS), COLD_PER_S)
}

/// A fleet that has run for a while, and whose first domain returns.
fn returned((instances, domains): (usize, usize), rule: Option<ColdRule>) -> ColdFleet {
    let mut fleet = ColdFleet::new(instances, domains, rule, 7);
    fleet.run_ms(5_000);
    fleet.return_domain();
    fleet
}

/// The load that the limit answers: without it the engines get a multiple of what they tolerate.
#[test]
fn without_a_limit_the_engines_are_overrun() {
    for size in FLEETS {
        let mut fleet = returned(size, None);
        fleet.run_ms(3_000);
        println!("{size:?}: {} in the worst second", fleet.worst_second());
        assert!(fleet.worst_second() > BOUND, "{size:?}");
    }
}

#[test]
fn a_domain_that_returns_gets_no_more_than_it_tolerates_and_is_used() {
    for size in FLEETS {
        let mut fleet = returned(size, rule());
        fleet.run_ms(COLD_MS - 500);
        let rate = fleet.mean_rate(1_500, COLD_MS - 500);
        println!("{size:?}: {} in the worst second, {rate:.1} a second", fleet.worst_second());
        assert!(fleet.worst_second() <= BOUND, "{size:?}: {}", fleet.worst_second());
        assert!(rate >= COLD_PER_S / 2.0, "{size:?}: {rate}");
    }
}

/// Two halves that do not hear each other, each with its own owners, and a third of the instances that start again.
#[test]
fn halves_that_do_not_hear_each_other_stay_within_the_bound_together() {
    for size in FLEETS {
        for cut_first in [true, false] {
            let mut fleet = ColdFleet::new(size.0, size.1, rule(), 11);
            fleet.run_ms(5_000);
            if cut_first {
                fleet.cut(|index| index / 2 % 2);
                fleet.run_ms(4_000);
            }
            fleet.return_domain();
            fleet.run_ms(2_000);
            if !cut_first {
                fleet.cut(|index| index / 2 % 2);
                fleet.run_ms(1_000);
            }
            (0..fleet.size()).step_by(3).for_each(|index| fleet.restart(index));
            fleet.run_ms(2_000);
            // The links are back, at the worst moment for those who have just settled.
            fleet.cut(|_| 0);
            fleet.run_ms(2_500);
            println!("{size:?} {cut_first}: {} in the worst second", fleet.worst_second());
            assert!(fleet.worst_second() <= BOUND, "{size:?}: {}", fleet.worst_second());
            assert!(fleet.worst_second() > 0, "{size:?}: the engines serve");
        }
    }
}

/// A fleet in many parts: the shares go with the sizes of the parts.
#[test]
fn instances_that_hear_nobody_stay_within_the_bound_together() {
    for size in FLEETS {
        let mut fleet = ColdFleet::new(size.0, size.1, rule(), 13);
        fleet.run_ms(5_000);
        fleet.cut(|index| if index % 2 == 0 { index } else { 1 });
        fleet.run_ms(4_000);
        fleet.return_domain();
        fleet.run_ms(5_000);
        println!("{size:?}: {} in the worst second", fleet.worst_second());
        assert!(fleet.worst_second() <= BOUND, "{size:?}: {}", fleet.worst_second());
    }
}

/// Instances that start again hear nobody at first, and do not know what they sent before.
#[test]
fn instances_that_start_again_one_after_the_other_stay_within_the_bound() {
    for size in FLEETS {
        let mut fleet = returned(size, rule());
        for round in 0..30 {
            fleet.run_ms(200);
            (0..fleet.size()).skip(round % 10).step_by(10).for_each(|index| fleet.restart(index));
        }
        println!("{size:?}: {} in the worst second", fleet.worst_second());
        assert!(fleet.worst_second() <= BOUND, "{size:?}: {}", fleet.worst_second());
    }
}

/// Nobody knows for up to a second that an engine has turned cold. What it gets until then is not bounded by the rule, but
/// by what it got before; from then on the rule holds, and what was sent just before counts.
#[test]
fn engines_that_turn_cold_again_get_no_more_than_before_and_soon_what_they_tolerate() {
    for size in FLEETS {
        let mut fleet = returned(size, rule());
        fleet.run_ms(COLD_MS + 6_000);
        let before = fleet.turn_cold();
        fleet.run_ms(4_000);
        let (first, later) = (fleet.worst_within(0, 1_000), fleet.worst_within(1_050, 3_000));
        println!("{size:?}: {before} before, {first} in the first second, {later} later");
        assert!(first <= before + BOUND / 3, "{size:?}: {before} {first}");
        assert!(later <= BOUND, "{size:?}: {later}");
    }
}
