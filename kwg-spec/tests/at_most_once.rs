//! At-most-once dispatch and correct "not run" reports: the implemented protocol upholds both, and
//! a violation is found in every broken variant.

use kwg_spec::{
    AnswerModel, AnswerVariant, EventBudget, Exploration, TicketModel, TicketVariant, explore,
    find_violation,
};

fn sound(routers: usize, tickets: usize, budget: EventBudget) -> Exploration {
    explore(&TicketModel::new(TicketVariant::Sound, routers, tickets, budget))
}

#[test]
fn holds_under_races_and_duplicates() {
    let exploration = sound(2, 2, EventBudget::RACES);
    assert_eq!(exploration.violation, None);
    assert!(exploration.states > 4_000, "only {} states", exploration.states);
}

#[test]
fn holds_under_crashes() {
    assert_eq!(sound(3, 1, EventBudget::CRASHES).violation, None);
}

#[test]
fn holds_under_hand_over() {
    let budget = EventBudget { hand_overs: 1, ..EventBudget::HAND_OVERS };
    let exploration = sound(3, 1, budget);
    assert_eq!(exploration.violation, None);
    assert!(exploration.states > 20_000, "only {} states", exploration.states);
}

#[test]
fn holds_while_tickets_expire() {
    assert_eq!(sound(2, 1, EventBudget::AGE).violation, None);
}

#[test]
fn every_broken_variant_is_caught() {
    for variant in TicketVariant::BROKEN {
        let model = TicketModel::new(variant, 3, 1, variant.budget());
        let trace = find_violation(&model).unwrap_or_else(|| panic!("{variant:?} is not caught"));
        println!("{variant:?} is caught after {} steps: {trace:#?}", trace.len() - 1);
    }
}

#[test]
fn a_disconnect_is_never_taken_for_the_end_of_an_answer() {
    let exploration = explore(&AnswerModel::new(AnswerVariant::Sound, 3));
    assert_eq!(exploration.violation, None);
    for variant in [AnswerVariant::DisconnectIsEnd, AnswerVariant::ResumeFromStart] {
        assert!(find_violation(&AnswerModel::new(variant, 1)).is_some(), "{variant:?}");
    }
}
