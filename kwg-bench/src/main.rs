//! Fault and load trials over real processes, simulations in virtual time, and timings of single
//! decisions. Runs the chosen one and prints its results.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;

use kwg_bench::{
    ControlScale, DecideScale, JudgeKind, KillTally, KillTrial, LoadPattern, MoveTally,
    OverheadTrial, OverloadReplay, PolicyKind, PolicyTally, PolicyTrial, ShutdownTrial,
    VersionKind,
};
use pico_args::{Arguments, Error};

const HELP: &str = "\
Fault and load trials over real processes, and benchmarks in virtual time.

USAGE: kwg-bench kills    [--seed 1..20]
       kwg-bench shutdown [--restarts N]
       kwg-bench overhead [--seconds N] [--rate N]
       kwg-bench policy   [--seed 1..20]
       kwg-bench control  [--routers N,N,..]
       kwg-bench decide
       kwg-bench moves    [--seed 1..200]
       kwg-bench overload [--seed 1..5] [--pattern NAME]
";

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("kwg-bench: {error}");
            ExitCode::from(2)
        }
    }
}

/// The directory of this binary, which also holds the binaries of the fleet.
fn binary_dir() -> PathBuf {
    let own = std::env::current_exe().expect("the path of the running binary is available");
    own.parent().expect("a binary has a parent directory").to_owned()
}

fn run(mut arguments: Arguments) -> Result<bool, Error> {
    match arguments.subcommand()?.as_deref() {
        Some("kills") => {
            let seeds: Option<String> = arguments.opt_value_from_str("--seed")?;
            Ok(kills(&parse_seeds(&seeds.unwrap_or("1..20".to_owned()))))
        }
        Some("shutdown") => {
            let restarts = arguments.opt_value_from_str("--restarts")?.unwrap_or(10);
            let tally = ShutdownTrial::run(&binary_dir(), restarts);
            println!("{tally}");
            Ok(tally.cut_off == 0 && tally.bad_exits == 0 && tally.dispatched_twice == 0)
        }
        Some("overhead") => {
            let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(10);
            let rate = arguments.opt_value_from_str("--rate")?.unwrap_or(25);
            let lines = OverheadTrial::run(&binary_dir(), seconds, rate);
            lines.iter().for_each(|line| println!("{line}"));
            Ok(true)
        }
        Some("policy") => {
            let seeds: Option<String> = arguments.opt_value_from_str("--seed")?;
            Ok(policy(&parse_seeds(&seeds.unwrap_or("1..20".to_owned()))))
        }
        Some("control") => {
            let sizes: Option<String> = arguments.opt_value_from_str("--routers")?;
            control(&sizes.unwrap_or("9,50,200,950".to_owned()));
            Ok(true)
        }
        Some("decide") => {
            decide();
            Ok(true)
        }
        Some("overload") => {
            let seeds: Option<String> = arguments.opt_value_from_str("--seed")?;
            let name: Option<String> = arguments.opt_value_from_str("--pattern")?;
            overload(&parse_seeds(&seeds.unwrap_or("1..5".to_owned())), name.as_deref());
            Ok(true)
        }
        Some("moves") => {
            let seeds: Option<String> = arguments.opt_value_from_str("--seed")?;
            Ok(moves(&parse_seeds(&seeds.unwrap_or("1..200".to_owned()))))
        }
        _ => {
            print!("{HELP}");
            Ok(false)
        }
    }
}

/// Parses `7` as one seed and `1..20` as the twenty seeds from 1 to 20. A number that
/// does not parse becomes 1.
fn parse_seeds(text: &str) -> Vec<u64> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let (first, last) = (first.parse().unwrap_or(1), last.parse().unwrap_or(1));
    (first..=last).collect()
}

/// Runs the kill trial for each seed. The last line counts every request with more than one attempt
/// as cut, also one whose earlier attempts got no ticket or no connection.
fn kills(seeds: &[u64]) -> bool {
    let mut total = KillTally::default();
    for seed in seeds {
        let tally = KillTrial::run(&binary_dir(), *seed);
        println!("seed={seed} {tally}");
        total.add(&tally);
    }
    println!("total: {total}");
    let share = 100.0 * total.unknown as f64 / total.resent.max(1) as f64;
    println!(
        "of {} requests that were cut and would be lost without resume, {} ended unknown ({share:.1}%)",
        total.resent, total.unknown
    );
    total.invariants_hold()
}

/// Replays the load patterns whose names contain `name`, or all, for each seed.
fn overload(seeds: &[u64], name: Option<&str>) {
    for pattern in LoadPattern::all() {
        if name.is_none_or(|name| pattern.name.contains(name)) {
            for seed in seeds {
                println!("{} seed={seed} {}", pattern.name, OverloadReplay::run(&pattern, *seed));
            }
        }
    }
}

fn moves(seeds: &[u64]) -> bool {
    let mut passed = true;
    for outages in [false, true] {
        println!("\n## Moves {} outages of the store\n", if outages { "with" } else { "without" });
        println!(
            "| version | judge | moves | done in time | rolled back | judged bad | largest share | \
             above 5% | requests late |\n|---|---|---|---|---|---|---|---|---|"
        );
        for kind in VersionKind::ALL {
            for judge in [JudgeKind::Sequential, JudgeKind::Threshold, JudgeKind::None] {
                let tally = MoveTally::run(kind, judge, outages, seeds.iter().copied());
                println!("{tally}");
                // A good version is rolled back if an outage covers the end of its window, so good
                // versions have no goal with outages.
                let has_goal =
                    judge == JudgeKind::Sequential && !(outages && kind == VersionKind::Good);
                passed &= !has_goal || tally.meets_goals();
            }
        }
    }
    passed
}

fn policy(seeds: &[u64]) -> bool {
    let mut passed = true;
    for faults in [false, true] {
        println!(
            "\n## {}\n\nGoodput by tier in percent of what was offered, tier 0 first.\n\n\
             | load | policy | 0 | 1 | 2 | 3 | 4 | shed | inversions | wasted prefill % | \
             first token p95 ms | between tokens p95 ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|",
            if faults { "One engine dead, one a straggler" } else { "All engines healthy" }
        );
        for load in [0.7, 1.0, 1.5, 2.5] {
            for policy in PolicyKind::ALL {
                let mut tally = PolicyTally::default();
                for seed in seeds {
                    tally.add(&PolicyTrial { seed: *seed, load, policy, faults }.run());
                }
                println!("| {load} | {policy:?} |{tally}");
                passed &= policy != PolicyKind::Product || tally.inversions == 0;
            }
        }
    }
    passed
}

fn control(sizes: &str) {
    println!(
        "| routers | CPU % of a core | bytes/s sent | messages/s sent | fleet reads/s | \
         memory KB | slowest change ms |\n|---|---|---|---|---|---|---|"
    );
    for routers in sizes.split(',').filter_map(|size| size.parse().ok()) {
        let cost = ControlScale::new(routers).run();
        println!(
            "| {} | {:.3} | {:.0} | {:.1} | {:.0} | {:.0} | {} |",
            cost.routers,
            cost.cpu_percent,
            cost.bytes_per_second,
            cost.messages_per_second,
            cost.fleet_reads_per_second,
            cost.memory_kb,
            cost.slowest_change.as_millis(),
        );
    }
}

fn decide() {
    println!("| targets | claim ns | queue ns | placement ns |\n|---|---|---|---|");
    for targets in [12, 120, 1_200, 12_000] {
        let cost = DecideScale::run(targets);
        println!("| {} | {:.0} | {:.0} | {:.0} |", targets, cost.claim, cost.queue, cost.placement);
    }
}
