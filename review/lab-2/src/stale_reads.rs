//! The store drops its history while the configuration changes, and its reads are behind for a while.

use std::time::Duration;

use crate::fleet::{self, Fleet};
use crate::http::call;
use crate::{Scene, Verdict};

/// How far reads are behind: the largest `x` of `platform_compact` on the site.
const LAG: Duration = Duration::from_millis(6_000);
/// How long the disturbance lasts in all; the largest `for_s` on the site is 13 s.
const LENGTH: Duration = Duration::from_millis(6_500);
/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_millis(4_000);
/// `configApplyMs` and `maxSkewMs` of the site.
const APPLY: Duration = Duration::from_millis(2_500 + 6_000);

/// `work ms` of the site's plain requests.
const WORK: Duration = Duration::from_millis(30);

pub fn run(scene: &Scene) -> Verdict {
    let Scene { record, has_trouble, .. } = scene;
    let Some(Fleet { store, runners, gateways, .. }) =
        Fleet::start(scene, 9, 3, WORK, &fleet::ZONES)
    else {
        return Verdict::NotRun("the gateways are not ready");
    };
    // A start is a disruption of its machine, and the first checks of the tables follow it.
    std::thread::sleep(Duration::from_millis(8_000));
    let begun = record.now();
    record.line("the disturbance of the store begins");
    if *has_trouble {
        store.deafen_feeds();
    }
    record.sleep_until(begun + Duration::from_millis(500));
    let revision = store.put("op", "config", Some(&fleet::config(2, "newapp", &["key-kept"])));
    let acknowledged = record.now();
    record.line(format_args!(
        "the operator's version 2 is acknowledged, row version {revision}: route open goes to newapp, key-dropped is \
         taken away"
    ));
    record.sleep_until(begun + Duration::from_millis(1_000));
    if *has_trouble {
        store.drop_history(LAG);
        record.line("the history is dropped; reads are 6.0 s behind");
    }
    record.sleep_until(begun + LENGTH);
    store.end_lag();
    record.line("the disturbance of the store ends");
    // Machines are in touch from here on.
    let in_touch = (begun + LENGTH + CONTACT).max(acknowledged + APPLY);
    record.sleep_until(in_touch + Duration::from_millis(50));
    record.line("all machines have been in touch for 50 ms");
    let limit = Duration::from_secs(3);
    let mut calls = Vec::new();
    for round in 0..40 {
        for gateway in &gateways {
            for key in ["key-kept", "key-dropped"] {
                let id = format!("r{round}-{}-{key}", gateway.name);
                let (front, record, key) = (gateway.front, record.clone(), key.to_owned());
                calls.push(std::thread::spawn(move || {
                    let sent = record.now();
                    let answer = call(front, &fleet::request("/open/pr", &id, &key), limit);
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    record.line(format_args!(
                        "client sent {id} at {:.3}: {} {body}",
                        sent.as_secs_f64(),
                        answer.status
                    ));
                    (id, sent)
                }));
            }
        }
        std::thread::sleep(Duration::from_millis(60));
    }
    let sent: Vec<(String, Duration)> =
        calls.into_iter().map(|call| call.join().expect("a call ends")).collect();
    let mut broken = 0;
    for runner in &runners {
        for run in runner.runs() {
            let Some((id, sent)) = sent.iter().find(|(id, _)| *id == run.request) else { continue };
            if runner.service == "botapp" || id.ends_with("key-dropped") {
                broken += 1;
                record.line(format_args!(
                    "broken: {id}, sent {:.3} s after the acknowledgement by a machine in touch, ran at {}",
                    (*sent - acknowledged).as_secs_f64(),
                    run.runner
                ));
            }
        }
    }
    record
        .line(format_args!("{broken} of {} requests were handled as version 1 allows", sent.len()));
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
