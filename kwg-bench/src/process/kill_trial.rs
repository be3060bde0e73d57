use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use kwg_standin::{CallPlan, CallReport, CallResult};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::{KillTally, RunEvidence};
use crate::{FleetHarness, FleetPlan};

/// Number of concurrent callers.
const CALLERS: usize = 16;
/// Time during which callers start new requests.
const RUN_SPAN: Duration = Duration::from_secs(4);
/// Number of faults in one run.
const FAULTS: usize = 6;

/// Injects kills, pauses, cut links and platform outages one after the other, in random order and
/// with repetition, while callers make requests.
#[derive(Debug, Clone, Copy)]
pub struct KillTrial;

/// A fault, with the index of its process and its duration in milliseconds where it has them.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillRouter(usize),
    PauseRouter(usize, u64),
    KillEngine(usize),
    PlatformDown(u64),
    /// The next three transactions on the platform commit without a response.
    LoseAnswers,
    CutLinks(usize, u64),
}

impl KillTrial {
    /// Runs once with this seed and the binaries in the directory `bin`.
    ///
    /// With `KWG_SHOW_UNKNOWN` set in the environment it prints the result and log events of each
    /// request without a correct answer; for one without a ticket, the events of all requests.
    #[must_use]
    pub fn run(bin: &Path, seed: u64) -> KillTally {
        let plan = FleetPlan::default();
        let mut harness = FleetHarness::start(bin, &plan);
        let reports = Rc::new(RefCell::new(Vec::new()));
        let executor = LocalExecutor::new();
        let until = Instant::now() + RUN_SPAN;
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let agent = harness.caller();
                let reports = Rc::clone(&reports);
                let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64);
                executor.spawn(async move {
                    let mut count = 0;
                    while Instant::now() < until {
                        count += 1;
                        let plan = draw_request(&mut rng, number, count);
                        let report: CallReport = agent.call(&plan, true).await;
                        reports.borrow_mut().push(report);
                    }
                })
            })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (kills, killed_targets) = block_on(executor.run(async {
            let killed = inject_faults(&mut harness, &mut rng, plan.routers, plan.engines).await;
            for caller in callers {
                caller.await;
            }
            killed
        }));
        let reports = reports.borrow();
        let log = harness.ticket_log();
        let ticket_key = |ticket: &str| harness.ticket_key(ticket);
        let evidence = RunEvidence {
            log: &log,
            ticket_key: &ticket_key,
            live_runs: &harness.live_router_runs(),
            killed_targets: &killed_targets,
        };
        let tally = KillTally::count(&reports, &evidence);
        if std::env::var_os("KWG_SHOW_UNKNOWN").is_some() {
            print_failures(&harness, &reports);
        }
        KillTally { kills, ..tally }
    }
}

/// Prints the result and log events of each request without a correct answer. For a request without
/// a ticket it prints the events of all requests.
fn print_failures(harness: &FleetHarness, reports: &[CallReport]) {
    for report in reports.iter().filter(|report| report.result != CallResult::Answered) {
        let key = report.ticket.as_deref().map(|ticket| harness.ticket_key(ticket));
        println!("  {key:?} {:?} resends={}", report.result, report.resends);
        print!("{}", harness.ticket_events(&key.unwrap_or_default()));
    }
}

fn draw_request(rng: &mut ChaCha8Rng, caller: usize, count: u32) -> CallPlan {
    let is_engine = rng.random_bool(0.7);
    let is_summary = rng.random_bool(0.2);
    CallPlan {
        route: if is_engine { "patches" } else { "bookings" }.to_owned(),
        body: format!("caller {caller} request {count}").into_bytes(),
        max_tokens: if is_summary { 100 } else { 10 },
        deadline_ms: Some(8_000),
        non_idempotent: !is_engine,
        is_engine,
    }
}

/// Injects faults at random times, and returns the number of router kills and the names of the
/// killed targets.
async fn inject_faults(
    harness: &mut FleetHarness,
    rng: &mut ChaCha8Rng,
    routers: usize,
    engines: usize,
) -> (usize, BTreeSet<String>) {
    let (mut kills, mut targets) = (0, BTreeSet::new());
    for _ in 0..FAULTS {
        Timer::after(Duration::from_millis(rng.random_range(100..600))).await;
        let fault = match rng.random_range(0..10) {
            0..4 => Fault::KillRouter(rng.random_range(0..routers)),
            4..6 => Fault::PauseRouter(rng.random_range(0..routers), rng.random_range(200..2_500)),
            6 => Fault::KillEngine(rng.random_range(0..engines)),
            7 => Fault::CutLinks(rng.random_range(0..routers), rng.random_range(200..4_000)),
            8 => Fault::PlatformDown(rng.random_range(200..1_500)),
            _ => Fault::LoseAnswers,
        };
        match fault {
            Fault::KillRouter(router) => {
                kills += 1;
                harness.routers[router].kill();
                Timer::after(Duration::from_millis(rng.random_range(0..300))).await;
                harness.routers[router].restart();
            }
            Fault::PauseRouter(router, millis) => {
                harness.routers[router].signal(Signal::STOP);
                Timer::after(Duration::from_millis(millis)).await;
                harness.routers[router].signal(Signal::CONT);
            }
            Fault::KillEngine(engine) => {
                targets.insert(format!("e{engine}"));
                harness.engines[engine].kill();
                Timer::after(Duration::from_millis(300)).await;
                harness.engines[engine].restart();
            }
            Fault::PlatformDown(millis) => {
                harness.set_platform_faults("down=1");
                Timer::after(Duration::from_millis(millis)).await;
                harness.set_platform_faults("down=0");
            }
            Fault::CutLinks(router, millis) => {
                harness.cut_links(router, true);
                Timer::after(Duration::from_millis(millis)).await;
                harness.cut_links(router, false);
            }
            Fault::LoseAnswers => harness.set_platform_faults("lose_answers=3"),
        }
    }
    (kills, targets)
}
