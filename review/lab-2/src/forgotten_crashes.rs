//! A request that crashes its runners is refused; then all gateways are killed at once, and it comes again.

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
    let limit = Duration::from_secs(3);
    let crash = |round: usize, number: usize, front| {
        let (id, record) = (format!("crash-{round}-{number}"), record.clone());
        thread::spawn(move || {
            let sent = record.now();
            let answer = call(front, &fleet::request("/scan/crash", &id, "key-kept"), limit);
            record.line(format_args!(
                "client sent {id} at {:.3}: {}",
                sent.as_secs_f64(),
                answer.status
            ));
            answer.status
        })
    };
    let crashes = |fleet: &Fleet| {
        let runs = fleet.runners.iter().flat_map(Runner::runs);
        let mut times: Vec<Duration> =
            runs.filter(|run| run.path.ends_with("/crash")).map(|run| run.at).collect();
        times.sort_unstable();
        times
    };
    // It comes at one machine after the other until it is refused.
    let mut refused = 0;
    for round in 0..12 {
        let front = fleet.gateways[round % fleet.gateways.len()].front;
        let status = crash(round, 0, front).join().expect("a call ends");
        refused = if status == 503 { refused + 1 } else { 0 };
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
    if *has_trouble {
        for gateway in &fleet.gateways {
            gateway.signal(Signal::KILL);
        }
        record.line("all gateways are killed");
        thread::sleep(Duration::from_millis(1_000));
        fleet.gateways = fleet.places.iter().map(|place| Gateway::start(folder, place)).collect();
        record.line("all gateways are started again");
        if !fleet.gateways.iter().all(Gateway::wait_ready) {
            return Verdict::NotRun("the gateways are not ready again");
        }
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    let in_touch = record.now();
    record.line("all machines are in touch");
    // It comes at three machines, 60 ms after each other, and again after a second.
    for round in 20..24 {
        let calls: Vec<_> = (0..3)
            .map(|number| {
                let place = (round * 3 + number) % fleet.gateways.len();
                thread::sleep(Duration::from_millis(60));
                crash(round, number, fleet.gateways[place].front)
            })
            .collect();
        calls.into_iter().for_each(|call| drop(call.join()));
        thread::sleep(Duration::from_millis(1_000));
    }
    is_over.store(true, Ordering::SeqCst);
    let lost: usize = bystanders.into_iter().map(|sender| sender.join().expect("it ends")).sum();
    let retries = crashes(&fleet).iter().filter(|at| **at >= in_touch).count();
    record.line(format_args!(
        "{retries} runners reached by machines in touch, later than 4.0 s after the third crash; in all {lost} \
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
