//! Scenarios of the independent review. Each starts gateways as processes beside stand-ins, writes what was
//! sent, answered and run to a record, and exits with 1 if the rule was broken, 0 if it held, 2 if it could
//! not run.

mod config;
mod gateway;
mod http;
mod lab;
mod odd_key;
mod repeated;
mod runner;
mod store;

use std::io;
use std::process::ExitCode;

use lab::{Lab, Verdict};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(scenario), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-lab SCENARIO RECORD");
        return ExitCode::from(2);
    };
    match run(&scenario, &record) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{scenario} could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(scenario: &str, record: &str) -> io::Result<Verdict> {
    let mut lab = Lab::new(record)?;
    let verdict = match scenario {
        "config" => config::run(&mut lab),
        "repeated" => repeated::run(&mut lab),
        "odd-key" => odd_key::run(&mut lab),
        _ => return Err(io::Error::other("unknown scenario")),
    }?;
    lab.finish(verdict)?;
    Ok(verdict)
}
