//! Runs one stand-in as a process.
#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::block_on;
use kwg_standin::{
    CallPlan, CallResult, CallerAgent, EngineOptions, EngineStandin, PlatformStandin, SampleFleet,
    ServiceStandin,
};
use kwg_telemetry::{EventRing, HybridClock, LogSink};
use log::LevelFilter;
use pico_args::{Arguments, Error};

const HELP: &str = "\
Runs a stand-in for tests and the demo. Not shipped.

USAGE: kwg-standin platform --address ADDRESS
       kwg-standin engine   --address ADDRESS [--name NAME] [--version V] [--step-ms N]
                            [--no-fencing] [--log FILE]
       kwg-standin service  --address ADDRESS [--name NAME] [--delay-ms N] [--log FILE]
       kwg-standin fleet    --runners N
       kwg-standin call     --routers A,B,.. --key KEY --route ROUTE [--count N]
                            [--tokens N] [--body TEXT] [--non-idempotent] [--service]
";

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("kwg-standin: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(mut arguments: Arguments) -> Result<ExitCode, Error> {
    let executor = Rc::new(LocalExecutor::new());
    let command = arguments.subcommand()?;
    let served = match command.as_deref() {
        Some("platform") => {
            let address = arguments.value_from_str("--address")?;
            let platform = PlatformStandin::run(address, Rc::clone(&executor));
            block_on(executor.run(platform))
        }
        Some("engine") => {
            let address: SocketAddr = arguments.value_from_str("--address")?;
            let step_ms = arguments.opt_value_from_str("--step-ms")?.unwrap_or(10);
            let defaults = EngineOptions::default();
            let options = EngineOptions {
                name: arguments.opt_value_from_str("--name")?.unwrap_or(defaults.name.clone()),
                version: arguments.opt_value_from_str("--version")?.unwrap_or("v1".to_owned()),
                step: Duration::from_millis(step_ms),
                heeds_fencing: !arguments.contains("--no-fencing"),
                ..defaults
            };
            let events = open_event_log(&mut arguments, &options.name)?;
            let engine = EngineStandin::run(address, options, events, Rc::clone(&executor));
            block_on(executor.run(engine))
        }
        Some("service") => {
            let address = arguments.value_from_str("--address")?;
            let delay = arguments.opt_value_from_str("--delay-ms")?.unwrap_or(20);
            let name: Option<String> = arguments.opt_value_from_str("--name")?;
            let events = open_event_log(&mut arguments, &name.unwrap_or("service".to_owned()))?;
            let delay = Duration::from_millis(delay);
            let service = ServiceStandin::run(address, delay, events, Rc::clone(&executor));
            block_on(executor.run(service))
        }
        Some("fleet") => return run_fleet(&mut arguments),
        Some("call") => return run_calls(&mut arguments),
        _ => {
            print!("{HELP}");
            return Ok(ExitCode::from(2));
        }
    };
    served.map_or_else(
        |error| {
            eprintln!("kwg-standin: {error}");
            Ok(ExitCode::FAILURE)
        },
        |()| Ok(ExitCode::SUCCESS),
    )
}

/// Opens the log that `--log` names, and the event ring of a process with this name.
fn open_event_log(arguments: &mut Arguments, name: &str) -> Result<EventRing, Error> {
    let file = arguments.opt_value_from_str("--log")?;
    let sink = LogSink { level: LevelFilter::Info, file };
    sink.install().map_err(|error| Error::ArgumentParsingFailed { cause: error.to_string() })?;
    Ok(EventRing::new(HybridClock::default(), name, std::process::id().into()))
}

/// Starts a sample fleet, prints the address of its store, and runs until the process ends.
fn run_fleet(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let count = arguments.value_from_str("--runners")?;
    match SampleFleet::start(count) {
        Ok(fleet) => {
            println!("{}", fleet.store.address());
            loop {
                std::thread::park();
            }
        }
        Err(error) => {
            eprintln!("kwg-standin: {error}");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Sends requests one after the other and prints a line with the result of each.
fn run_calls(arguments: &mut Arguments) -> Result<ExitCode, Error> {
    let routers: String = arguments.value_from_str("--routers")?;
    let routers = routers.split(',').filter_map(|router| router.parse().ok()).collect();
    let key: String = arguments.value_from_str("--key")?;
    let count: u32 = arguments.opt_value_from_str("--count")?.unwrap_or(1);
    let body: Option<String> = arguments.opt_value_from_str("--body")?;
    let body = body.unwrap_or("a prompt".to_owned());
    let mut plan = CallPlan {
        route: arguments.value_from_str("--route")?,
        body: Vec::new(),
        max_tokens: arguments.opt_value_from_str("--tokens")?.unwrap_or(32),
        deadline_ms: None,
        non_idempotent: arguments.contains("--non-idempotent"),
        is_engine: !arguments.contains("--service"),
    };
    let agent = CallerAgent::new(routers, key);
    let mut failed = false;
    for number in 0..count {
        plan.body = format!("{body} {number}").into_bytes();
        let report = block_on(agent.call(&plan, true));
        let first = report.first_byte.map_or(0, |span| span.as_millis());
        println!(
            "route={} result={:?} resends={} first_byte_ms={first} total_ms={}",
            plan.route,
            report.result,
            report.resends,
            report.total.as_millis()
        );
        failed |= report.result != CallResult::Answered;
    }
    Ok(if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}
