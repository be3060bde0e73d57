//! Kills, pauses and rolling restarts over real processes. Checks counts, not times.

use std::path::PathBuf;

use kwg_bench::{FleetHarness, KillTrial, ShutdownTrial};

fn bin() -> PathBuf {
    FleetHarness::build_binaries(env!("CARGO_BIN_EXE_kwg-bench"))
}

#[test]
fn nothing_is_dispatched_twice_and_every_report_is_true_under_kills() {
    for seed in [1, 2] {
        let tally = KillTrial::run(&bin(), seed);
        println!("seed={seed} {tally}");
        assert!(tally.invariants_hold(), "{tally}");
        assert!(tally.answered > 0, "{tally}");
    }
}

#[test]
fn rolling_restarts_cut_off_no_request() {
    let tally = ShutdownTrial::run(&bin(), 2);
    println!("{tally}");
    assert_eq!((tally.cut_off, tally.bad_exits, tally.dispatched_twice), (0, 0, 0), "{tally}");
    assert!(tally.answered > 0);
}
