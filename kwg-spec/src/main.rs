//! Explores the protocol models and prints the results; fails if an invariant is violated, or if a
//! deliberately broken variant is not caught.
//!
//! `leases` explores the lease model; any other subcommand, or none, explores the ticket and answer
//! models. `--large` adds a larger ticket model, or allows the lease model one more write.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::time::Instant;

use kwg_spec::{
    AnswerModel, AnswerVariant, EventBudget, LeaseModel, LeaseVariant, ModelState, TicketModel,
    TicketVariant, explore, find_violation,
};

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let is_large = arguments.contains("--large");
    let passed = match arguments.subcommand() {
        Ok(Some(name)) if name == "leases" => check_leases(is_large),
        _ => check_tickets(is_large),
    };
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn check_leases(is_large: bool) -> bool {
    let writes = if is_large { 5 } else { 4 };
    let mut passed =
        check_holds("leases, 2 routers", &LeaseModel::new(LeaseVariant::Sound, 2, 6, writes));
    for variant in LeaseVariant::BROKEN {
        passed &= check_caught(&format!("{variant:?}"), &LeaseModel::new(variant, 2, 4, 3));
    }
    passed
}

fn check_tickets(is_large: bool) -> bool {
    let mut passed = true;
    let mut models = vec![
        ("races, 2 routers, 2 tickets", 2, 2, EventBudget::RACES),
        ("races, 3 routers, 1 ticket", 3, 1, EventBudget::RACES),
        ("crashes, 3 routers, 1 ticket", 3, 1, EventBudget::CRASHES),
        ("hand-overs, 3 routers, 1 ticket", 3, 1, EventBudget::HAND_OVERS),
        ("age, 2 routers, 1 ticket", 2, 1, EventBudget::AGE),
    ];
    if is_large {
        models.push(("everything, 3 routers, 1 ticket", 3, 1, EventBudget::ALL));
    }
    for (name, routers, tickets, budget) in models {
        let model = TicketModel::new(TicketVariant::Sound, routers, tickets, budget);
        passed &= check_holds(&format!("tickets, {name}"), &model);
    }
    passed &= check_holds("answers, 3 cuts", &AnswerModel::new(AnswerVariant::Sound, 3));
    for variant in TicketVariant::BROKEN {
        let model = TicketModel::new(variant, 3, 1, variant.budget());
        passed &= check_caught(&format!("{variant:?}"), &model);
    }
    for variant in [AnswerVariant::DisconnectIsEnd, AnswerVariant::ResumeFromStart] {
        passed &= check_caught(&format!("{variant:?}"), &AnswerModel::new(variant, 1));
    }
    passed
}

fn check_holds(name: &str, model: &impl ModelState) -> bool {
    let start = Instant::now();
    let exploration = explore(model);
    let seconds = start.elapsed().as_secs_f64();
    let verdict = if exploration.violation.is_none() { "invariants hold" } else { "VIOLATED" };
    println!("{name}: {} states, {seconds:.1} s, {verdict}", exploration.states);
    exploration.violation.iter().flatten().for_each(|step| println!("    {step}"));
    exploration.violation.is_none()
}

fn check_caught(name: &str, model: &impl ModelState) -> bool {
    match find_violation(model) {
        Some(trace) => {
            println!("broken variant {name}: caught after {} steps", trace.len() - 1);
            trace.iter().for_each(|step| println!("    {step}"));
            true
        }
        None => {
            println!("broken variant {name}: NOT CAUGHT");
            false
        }
    }
}
