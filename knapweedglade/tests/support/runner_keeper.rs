//! Brings runners back that have ended under a request.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use kwg_standin::{RunnerStandin, SampleFleet, StoreStandin};

/// Time until a runner that has ended is back.
pub const DOWN_TIME: Duration = Duration::from_secs(2);

/// Brings runners back that have ended: each other time under another name, otherwise as another run of the same one.
pub fn keep_alive(store: &StoreStandin, runners: &[RunnerStandin], is_over: &AtomicBool) {
    let mut names: Vec<String> = (0..runners.len()).map(|number| format!("i-{number}")).collect();
    let mut down: Vec<Option<Instant>> = vec![None; runners.len()];
    let mut born = 1_u64;
    while !is_over.load(Ordering::Relaxed) {
        for (index, runner) in runners.iter().enumerate() {
            match down[index] {
                None if runner.is_down() => down[index] = Some(Instant::now()),
                Some(since) if since.elapsed() >= DOWN_TIME => {
                    born += 1;
                    if born.is_multiple_of(2) {
                        store.put("servers", &names[index], None);
                        names[index] = format!("i-{index}-{born}");
                    }
                    let mut entry = SampleFleet::entry(runner, "ready");
                    entry["born"] = born.into();
                    store.put("servers", &names[index], Some(entry.to_string().as_bytes()));
                    runner.revive();
                    down[index] = None;
                }
                _ => {}
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
