//! Open connections to the store go silent for good; a runner leaves meanwhile.

use std::time::Duration;

use crate::fleet::{self, Fleet};
use crate::http::call;
use crate::{Scene, Verdict};

/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_millis(4_000);
/// `drainMs` of the site.
const DRAIN: Duration = Duration::from_millis(2_500);

/// `work ms` of the site's plain requests.
const WORK: Duration = Duration::from_millis(30);

pub fn run(scene: &Scene) -> Verdict {
    let Scene { record, has_trouble, .. } = scene;
    let Some(fleet) = Fleet::start(scene, 9, 3, WORK, &fleet::ZONES[..1]) else {
        return Verdict::NotRun("the gateways are not ready");
    };
    std::thread::sleep(Duration::from_millis(8_000));
    // Usual changes, after which all gateways poll anew.
    fleet.store.put("op", "config", Some(&fleet::config(2, "botapp", &["key-kept"])));
    let mut entry = fleet.runners[0].entry(fleet::ZONES[0]);
    entry["coldLeftMs"] = 100.into();
    fleet.store.put("servers", &fleet.runners[0].id, Some(&entry));
    record.line("the operator's version 2, and a change of a runner's entry");
    std::thread::sleep(Duration::from_millis(2_600));
    let silent = record.now();
    if *has_trouble {
        fleet.proxy.go_silent();
        record.line("open connections to the store go silent; new ones work");
    }
    std::thread::sleep(Duration::from_millis(300));
    let gone = &fleet.runners[2];
    fleet.store.put("servers", &gone.id, None);
    let acknowledged = record.now();
    record.line(format_args!("the entry of {} is removed", gone.id));
    let start = (silent + CONTACT).max(acknowledged + DRAIN) + Duration::from_millis(50);
    record.sleep_until(start);
    record.line("all machines have been in touch for 50 ms");
    let mut calls = Vec::new();
    for round in 0..30 {
        for (gateway, number) in fleet.gateways.iter().flat_map(|one| (0..3).map(move |n| (one, n)))
        {
            let id = format!("r{round}-{number}-{}", gateway.name);
            let (front, record) = (gateway.front, record.clone());
            calls.push(std::thread::spawn(move || {
                let sent = record.now();
                let answer = call(
                    front,
                    &fleet::request("/open/pr", &id, "key-kept"),
                    Duration::from_secs(3),
                );
                record.line(format_args!(
                    "client sent {id} at {:.3}: {}",
                    sent.as_secs_f64(),
                    answer.status
                ));
                (id, answer.status)
            }));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let sent: Vec<(String, u16)> =
        calls.into_iter().map(|call| call.join().expect("a call ends")).collect();
    let mut broken = 0;
    for run in gone.runs() {
        if let Some((id, _)) = sent.iter().find(|(id, _)| *id == run.request) {
            broken += 1;
            record.line(format_args!(
                "broken: {id} reached {} {:.3} s after its entry was removed",
                run.runner,
                (run.at - acknowledged).as_secs_f64()
            ));
        }
    }
    let lost = sent.iter().filter(|(_, status)| *status != 200).count();
    record.line(format_args!(
        "{broken} of {} requests reached the runner that is gone; {lost} got no answer of a runner",
        sent.len()
    ));
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
