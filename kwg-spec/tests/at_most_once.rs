//! At most once, and "not run" is true: the sound protocol holds, every broken one is caught.

use kwg_spec::{
    AnswerVariant, AnswerWorld, Exploration, TicketVariant, TicketWorld, WorldBudget, explore,
    find_violation,
};

fn sound(routers: usize, tickets: usize, budget: WorldBudget) -> Exploration {
    explore(&TicketWorld::new(TicketVariant::Sound, routers, tickets, budget))
}

#[test]
fn holds_under_races_and_duplicates() {
    let found = sound(2, 2, WorldBudget::RACES);
    assert_eq!(found.violation, None);
    assert!(found.states > 4_000, "only {} states", found.states);
}

#[test]
fn holds_under_crashes() {
    assert_eq!(sound(3, 1, WorldBudget::CRASHES).violation, None);
}

#[test]
fn holds_under_hand_over() {
    let budget = WorldBudget { hand_overs: 1, ..WorldBudget::HAND_OVERS };
    let found = sound(3, 1, budget);
    assert_eq!(found.violation, None);
    assert!(found.states > 20_000, "only {} states", found.states);
}

#[test]
fn holds_while_tickets_grow_old() {
    assert_eq!(sound(2, 1, WorldBudget::AGE).violation, None);
}

#[test]
fn every_broken_variant_is_caught() {
    for variant in TicketVariant::BROKEN {
        let world = TicketWorld::new(variant, 3, 1, variant.budget());
        let trace = find_violation(&world).unwrap_or_else(|| panic!("{variant:?} is not caught"));
        println!("{variant:?} is caught after {} steps: {trace:#?}", trace.len() - 1);
    }
}

#[test]
fn a_cut_is_never_taken_for_the_end() {
    let found = explore(&AnswerWorld::new(AnswerVariant::Sound, 3));
    assert_eq!(found.violation, None);
    for variant in [AnswerVariant::CutIsEnd, AnswerVariant::ResumeFromStart] {
        assert!(find_violation(&AnswerWorld::new(variant, 1)).is_some(), "{variant:?}");
    }
}
