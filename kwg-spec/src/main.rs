//! Explores the specifications and prints what was found.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::time::Instant;

use kwg_spec::{
    AnswerVariant, AnswerWorld, LeaseVariant, LeaseWorld, SpecWorld, TicketVariant, TicketWorld,
    WorldBudget, explore, find_violation,
};

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let is_large = arguments.contains("--large");
    let holds = match arguments.subcommand() {
        Ok(Some(what)) if what == "leases" => leases(is_large),
        _ => tickets(is_large),
    };
    if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn leases(is_large: bool) -> bool {
    let writes = if is_large { 5 } else { 4 };
    let mut sound = holds("leases, 2 routers", &LeaseWorld::new(LeaseVariant::Sound, 2, 6, writes));
    for variant in LeaseVariant::BROKEN {
        sound &= caught(&format!("{variant:?}"), &LeaseWorld::new(variant, 2, 4, 3));
    }
    sound
}

fn tickets(is_large: bool) -> bool {
    let mut sound = true;
    let mut worlds = vec![
        ("races, 2 routers, 2 tickets", 2, 2, WorldBudget::RACES),
        ("races, 3 routers, 1 ticket", 3, 1, WorldBudget::RACES),
        ("crashes, 3 routers, 1 ticket", 3, 1, WorldBudget::CRASHES),
        ("hand-overs, 3 routers, 1 ticket", 3, 1, WorldBudget::HAND_OVERS),
        ("age, 2 routers, 1 ticket", 2, 1, WorldBudget::AGE),
    ];
    if is_large {
        worlds.push(("everything, 3 routers, 1 ticket", 3, 1, WorldBudget::ALL));
    }
    for (name, routers, tickets, budget) in worlds {
        let world = TicketWorld::new(TicketVariant::Sound, routers, tickets, budget);
        sound &= holds(&format!("tickets, {name}"), &world);
    }
    sound &= holds("answers, 3 cuts", &AnswerWorld::new(AnswerVariant::Sound, 3));
    for variant in TicketVariant::BROKEN {
        let world = TicketWorld::new(variant, 3, 1, variant.budget());
        sound &= caught(&format!("{variant:?}"), &world);
    }
    for variant in [AnswerVariant::CutIsEnd, AnswerVariant::ResumeFromStart] {
        sound &= caught(&format!("{variant:?}"), &AnswerWorld::new(variant, 1));
    }
    sound
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
