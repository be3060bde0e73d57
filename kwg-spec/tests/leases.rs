//! Lease invariants: at most one router may issue orders at a time, and no two holders share a
//! fencing number.

use kwg_spec::{LeaseModel, LeaseVariant, explore, find_violation};

#[test]
fn holds_under_loss_delay_pauses_and_outages() {
    let exploration = explore(&LeaseModel::new(LeaseVariant::Sound, 2, 4, 3));
    assert_eq!(exploration.violation, None);
    assert!(exploration.states > 10_000, "only {} states", exploration.states);
}

#[test]
fn every_broken_variant_is_caught() {
    for variant in LeaseVariant::BROKEN {
        let model = LeaseModel::new(variant, 2, 4, 3);
        let trace = find_violation(&model).unwrap_or_else(|| panic!("{variant:?} is not caught"));
        println!("{variant:?} is caught after {} steps: {trace:#?}", trace.len() - 1);
    }
}
