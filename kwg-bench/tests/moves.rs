//! Version moves over real processes, with the leader killed during the move. Checks counts and
//! final phases, not times.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use kwg_bench::{FleetHarness, FleetPlan};
use kwg_standin::{CallPlan, CallResult};

/// How often a test reads the state of a move before it gives up.
const MAX_STATUS_READS: usize = 1_000;

fn bin() -> PathBuf {
    FleetHarness::build_binaries(env!("CARGO_BIN_EXE_kwg-bench"))
}

/// Moves the engines to another version under load. Returns the status line of the ended move,
/// and the number of answered requests.
fn run_move(version: &str, within_s: &str, fault: &str) -> (String, usize) {
    let plan = FleetPlan { routers: 3, step_ms: 2, ..FleetPlan::default() };
    let mut harness = FleetHarness::start(&bin(), &plan);
    harness.set_engine_faults(fault);
    let executor = LocalExecutor::new();
    let (stopping, answered) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(0)));
    for number in 0..16 {
        let (agent, stopping) = (harness.caller(), Rc::clone(&stopping));
        let answered = Rc::clone(&answered);
        let call = async move {
            for count in 0.. {
                if stopping.get() {
                    break;
                }
                let plan = CallPlan {
                    route: if count % 3 == 0 { "labels" } else { "patches" }.to_owned(),
                    body: format!("caller {number} request {count}").into_bytes(),
                    max_tokens: 1,
                    deadline_ms: None,
                    non_idempotent: false,
                    is_engine: true,
                };
                let report = agent.call(&plan, true).await;
                if report.result == CallResult::Answered {
                    answered.set(answered.get() + 1);
                }
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        executor.spawn(call).detach();
    }
    let started =
        harness.tables(&["move", "--pool", "graz", "--to", version, "--within-s", within_s]);
    assert!(started.contains("accepted"), "{started}");
    let line = block_on(executor.run(async {
        let mut killed = false;
        for _ in 0..MAX_STATUS_READS {
            Timer::after(Duration::from_millis(300)).await;
            let status = harness.tables_status();
            let line = status.lines().find(|line| line.starts_with("move of pool"));
            let line = line.unwrap_or_default().to_owned();
            if line.contains(": done ") || line.contains(": takenback ") {
                stopping.set(true);
                return line;
            }
            let leader = (0..3).find(|router| {
                let name = format!("r{router}: ");
                let own = status.lines().find(|line| line.starts_with(&name));
                own.is_some_and(|line| line.contains("\"leads\":true"))
            });
            if let (false, Some(leader)) = (killed, leader) {
                killed = true;
                harness.routers[leader].kill();
                harness.routers[leader].restart();
            }
        }
        String::new()
    }));
    (line, answered.get())
}

#[test]
fn a_move_to_a_good_version_completes_after_its_leader_is_killed() {
    let (line, answered) = run_move("v2", "90", "fail_percent=0");
    println!("{answered} answered; {line}");
    assert!(line.contains(": done ") && line.contains("proved good"), "{line}");
}

#[test]
fn a_bad_version_is_rolled_back_with_the_evidence() {
    let (line, answered) = run_move("v2", "40", "bad_version=v2&fail_percent=50");
    println!("{answered} answered; {line}");
    assert!(line.contains(": takenback "), "{line}");
    assert!(line.contains("% failed"), "the status names the evidence: {line}");
}
