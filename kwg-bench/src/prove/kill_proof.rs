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

use super::{KillTally, RunEvidence};
use crate::{FleetHarness, FleetPlan};

/// Callers that make requests at the same time.
const CALLERS: usize = 16;
/// How long callers begin new requests.
const RUN: Duration = Duration::from_secs(4);
/// Faults of one run.
const FAULTS: usize = 6;

/// Kills, pauses, cut links and outages, twice and together, while callers make requests.
#[derive(Debug, Clone, Copy)]
pub struct KillProof;

/// A fault of a run.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillRouter(usize),
    PauseRouter(usize, u64),
    KillEngine(usize),
    PlatformDown(u64),
    LoseAnswers,
    CutLinks(usize, u64),
}

impl KillProof {
    /// Runs once with this seed; the binaries lie in `bin`.
    #[must_use]
    pub fn run(bin: &Path, seed: u64) -> KillTally {
        let plan = FleetPlan::default();
        let mut harness = FleetHarness::start(bin, &plan);
        let reports = Rc::new(RefCell::new(Vec::new()));
        let executor = LocalExecutor::new();
        let until = Instant::now() + RUN;
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let agent = harness.caller();
                let reports = Rc::clone(&reports);
                let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64);
                executor.spawn(async move {
                    let mut count = 0;
                    while Instant::now() < until {
                        count += 1;
                        let plan = request(&mut rng, number, count);
                        let report: CallReport = agent.call(&plan, true).await;
                        reports.borrow_mut().push(report);
                    }
                })
            })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (kills, killed_targets) = block_on(executor.run(async {
            let killed = inject(&mut harness, &mut rng, plan.routers, plan.engines).await;
            for caller in callers {
                caller.await;
            }
            killed
        }));
        let reports = reports.borrow();
        let log = harness.ticket_log();
        let key_of = |ticket: &str| harness.key_of(ticket);
        let evidence = RunEvidence {
            log: &log,
            key_of: &key_of,
            live_runs: &harness.router_runs(),
            killed_targets: &killed_targets,
        };
        let tally = KillTally::count(&reports, &evidence);
        if std::env::var_os("KWG_SHOW_UNKNOWN").is_some() {
            show(&harness, &reports);
        }
        KillTally { kills, ..tally }
    }
}

/// Prints how requests without an answer ended, to find their cause.
fn show(harness: &FleetHarness, reports: &[CallReport]) {
    for report in reports.iter().filter(|report| report.result != CallResult::Answered) {
        let key = report.ticket.as_deref().map(|ticket| harness.key_of(ticket));
        println!("  {key:?} {:?} resends={}", report.result, report.resends);
        print!("{}", harness.time_line(&key.unwrap_or_default()));
    }
}

fn request(rng: &mut ChaCha8Rng, caller: usize, count: u32) -> CallPlan {
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

/// Brings faults about at random times; gives the number of routers killed,
/// and the names of the targets killed.
async fn inject(
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
                harness.routers[router].signal("STOP");
                Timer::after(Duration::from_millis(millis)).await;
                harness.routers[router].signal("CONT");
            }
            Fault::KillEngine(engine) => {
                targets.insert(format!("e{engine}"));
                harness.engines[engine].kill();
                Timer::after(Duration::from_millis(300)).await;
                harness.engines[engine].restart();
            }
            Fault::PlatformDown(millis) => {
                harness.fault_platform("down=1");
                Timer::after(Duration::from_millis(millis)).await;
                harness.fault_platform("down=0");
            }
            Fault::CutLinks(router, millis) => {
                harness.cut_links(router, true);
                Timer::after(Duration::from_millis(millis)).await;
                harness.cut_links(router, false);
            }
            Fault::LoseAnswers => harness.fault_platform("lose_answers=3"),
        }
    }
    (kills, targets)
}
