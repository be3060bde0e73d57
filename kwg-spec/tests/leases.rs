//! Leases: never two routers that may give orders, never one fencing number for two.

use kwg_spec::{LeaseVariant, LeaseWorld, explore, find_violation};

#[test]
fn the_lease_holds_under_loss_delay_pauses_and_outages() {
    let found = explore(&LeaseWorld::new(LeaseVariant::Sound, 2, 4, 3));
    assert_eq!(found.violation, None);
    assert!(found.states > 10_000, "only {} states", found.states);
}

#[test]
fn every_broken_variant_is_caught() {
    for variant in LeaseVariant::BROKEN {
        let world = LeaseWorld::new(variant, 2, 4, 3);
        let trace = find_violation(&world).unwrap_or_else(|| panic!("{variant:?} is not caught"));
        println!("{variant:?} is caught after {} steps: {trace:#?}", trace.len() - 1);
    }
}
