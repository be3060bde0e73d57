//! A request that crashes its runners is refused; then all gateways are killed at once, and it comes again. This happens
//! twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::fleet::{self, Fleet};
use crate::gateway::Gateway;
use crate::http::call;
use crate::runner::Runner;
use crate::{Scene, Verdict};

/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_millis(4_000);
/// `work ms` of the site's plain requests.
const WORK: Duration = Duration::from_millis(30);
/// After this time a runner that has crashed is back.
const BACK: Duration = Duration::from_millis(3_000);
/// A client waits this long before it repeats a request.
const BEFORE_REPEAT: Duration = Duration::from_millis(300);
/// How often all gateways are killed.
const KILLS: usize = 2;
/// Retries that the rule allows.
const ALLOWED: usize = 3;

pub fn run(scene: &Scene) -> Verdict {
    let Scene { record, has_trouble, folder } = scene;
    let Some(mut fleet) = Fleet::start(scene, 9, 9, WORK, &fleet::ZONES) else {
        return Verdict::NotRun("the gateways are not ready");
    };
    thread::sleep(Duration::from_millis(6_000));
    keep_runners(&fleet);
    let is_over = Arc::new(AtomicBool::new(false));
    let bystanders = send_others(scene, &fleet, &is_over);
    // A client sends it, and after a failure once more, to another machine, as clients do with requests that may be
    // repeated. Returns whether the last answer was a refusal.
    let come = |fleet: &Fleet, round: usize| {
        for attempt in 0..2 {
            if attempt > 0 {
                thread::sleep(BEFORE_REPEAT);
            }
            let front = fleet.gateways[(round * 2 + attempt) % fleet.gateways.len()].front;
            let (id, sent) = (format!("crash-{round}-{attempt}"), record.now().as_secs_f64());
            let bytes = fleet::request("/scan/crash", &id, "key-kept");
            let answer = call(front, &bytes, Duration::from_secs(3));
            record.line(format_args!("client sent {id} at {sent:.3}: {}", answer.status));
            if answer.status == 503 {
                return true;
            }
        }
        false
    };
    let crashes = |fleet: &Fleet| {
        let runs = fleet.runners.iter().flat_map(Runner::runs);
        let mut times: Vec<Duration> =
            runs.filter(|run| run.path.ends_with("/crash")).map(|run| run.at).collect();
        times.sort_unstable();
        times
    };
    let mut refused = 0;
    for round in 0..12 {
        refused = if come(&fleet, round) { refused + 1 } else { 0 };
        if refused >= 3 {
            break;
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    let before = crashes(&fleet);
    if refused < 3 || before.len() < 3 {
        return Verdict::NotRun("the request is not refused after its first crashes");
    }
    let third = before[2];
    record.line(format_args!("it is refused, after {} crashes", before.len()));
    record.sleep_until(third + CONTACT + BACK);
    let mut retries = 0;
    for kill in 1..=KILLS {
        if *has_trouble {
            for gateway in &fleet.gateways {
                gateway.signal(Signal::KILL);
            }
            record.line("all gateways are killed");
            thread::sleep(Duration::from_millis(1_000));
            fleet.gateways =
                fleet.places.iter().map(|place| Gateway::start(folder, place)).collect();
            record.line("all gateways are started again");
            if !fleet.gateways.iter().all(Gateway::wait_ready) {
                return Verdict::NotRun("the gateways are not ready again");
            }
        }
        thread::sleep(CONTACT + Duration::from_millis(500));
        let in_touch = record.now();
        record.line("all machines are in touch");
        for round in 0..4 {
            come(&fleet, kill * 20 + round);
            thread::sleep(Duration::from_millis(1_000));
        }
        let late = crashes(&fleet).iter().filter(|at| **at >= in_touch).count();
        record.line(format_args!("{late} runners reached by machines in touch"));
        retries += late;
    }
    is_over.store(true, Ordering::SeqCst);
    let lost: usize = bystanders.into_iter().map(|sender| sender.join().expect("it ends")).sum();
    record.line(format_args!(
        "in all {retries} runners reached by machines in touch, later than 4.0 s after the third crash; {lost} \
         requests of others that must not be repeated got 502"
    ));
    match retries > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Starts runners that have crashed again after some seconds.
fn keep_runners(fleet: &Fleet) {
    for (number, runner) in fleet.runners.iter().enumerate() {
        let (runner, store) = (runner.clone(), fleet.store.clone());
        thread::spawn(move || {
            loop {
                if runner.has_ended() {
                    thread::sleep(BACK);
                    runner.start_again();
                    let entry = runner.entry(fleet::ZONES[number % 3]);
                    store.put("servers", &runner.id, Some(&entry));
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
    }
}

/// Sends sound requests that must not be repeated to each gateway; each thread returns how many got 502.
fn send_others(
    scene: &Scene,
    fleet: &Fleet,
    is_over: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<usize>> {
    let send = |(number, front): (usize, std::net::SocketAddr)| {
        let (is_over, record) = (Arc::clone(is_over), scene.record.clone());
        thread::spawn(move || {
            let (mut round, mut lost) = (0, 0);
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("other-{number}-{round}");
                let bytes = fleet::request("/open/pr", &id, "key-kept");
                let answer = call(front, &bytes, Duration::from_secs(3));
                if answer.status == 502 {
                    lost += 1;
                    record.line(format_args!("client sent {id}: 502"));
                }
                round += 1;
                thread::sleep(Duration::from_millis(20));
            }
            lost
        })
    };
    let fronts = fleet.gateways.iter().flat_map(|gateway| [gateway.front; 2]);
    fronts.enumerate().map(send).collect()
}
