//! Explores the specifications and prints what was found.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::time::Instant;

use kwg_spec::{
    AnswerVariant, AnswerWorld, SpecWorld, TicketVariant, TicketWorld, WorldBudget, explore,
    find_violation,
};

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let mut failed = false;
    let mut worlds = vec![
        ("races, 2 routers, 2 tickets", 2, 2, WorldBudget::RACES),
        ("races, 3 routers, 1 ticket", 3, 1, WorldBudget::RACES),
        ("crashes, 3 routers, 1 ticket", 3, 1, WorldBudget::CRASHES),
        ("hand-overs, 3 routers, 1 ticket", 3, 1, WorldBudget::HAND_OVERS),
        ("age, 2 routers, 1 ticket", 2, 1, WorldBudget::AGE),
    ];
    if arguments.contains("--large") {
        worlds.push(("everything, 3 routers, 1 ticket", 3, 1, WorldBudget::ALL));
    }
    for (name, routers, tickets, budget) in worlds {
        let world = TicketWorld::new(TicketVariant::Sound, routers, tickets, budget);
        failed |= !holds(&format!("tickets, {name}"), &world);
    }
    failed |= !holds("answers, 3 cuts", &AnswerWorld::new(AnswerVariant::Sound, 3));
    for variant in TicketVariant::BROKEN {
        let world = TicketWorld::new(variant, 3, 1, variant.budget());
        failed |= !caught(&format!("{variant:?}"), &world);
    }
    for variant in [AnswerVariant::CutIsEnd, AnswerVariant::ResumeFromStart] {
        failed |= !caught(&format!("{variant:?}"), &AnswerWorld::new(variant, 1));
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn holds(name: &str, world: &impl SpecWorld) -> bool {
    let start = Instant::now();
    let found = explore(world);
    let seconds = start.elapsed().as_secs_f64();
    let verdict = if found.violation.is_none() { "invariants hold" } else { "VIOLATED" };
    println!("{name}: {} states, {seconds:.1} s, {verdict}", found.states);
    found.violation.iter().flatten().for_each(|step| println!("    {step}"));
    found.violation.is_none()
}

fn caught(name: &str, world: &impl SpecWorld) -> bool {
    match find_violation(world) {
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
