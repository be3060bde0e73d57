//! The store drops its history while the configuration changes, and its reads are behind for a while.

use std::time::Duration;

use serde_json::{Value, json};

use crate::gateway::{Gateway, Place};
use crate::http::call;
use crate::runner::Runner;
use crate::store::Store;
use crate::{Scene, Verdict, own_ip};

/// How far reads are behind: the largest `x` of `platform_compact` on the site.
const LAG: Duration = Duration::from_millis(6_000);
/// How long the disturbance lasts in all; the largest `for_s` on the site is 13 s.
const LENGTH: Duration = Duration::from_millis(6_500);
/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_millis(4_000);
/// `configApplyMs` and `maxSkewMs` of the site.
const APPLY: Duration = Duration::from_millis(2_500 + 6_000);

const ZONES: [&str; 3] = ["ost-graz", "ost-wien", "west-ibk"];

fn config(version: u64, service: &str, keys: &[&str]) -> Value {
    json!({ "version": version,
        "routes": [{ "name": "open", "host": "bot.example", "prefix": "/open/",
            "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0,
            "service": service, "maxAttempts": 1 }],
        "services": [{ "name": "botapp", "healthPath": "/health", "maxConns": 110 },
            { "name": "newapp", "healthPath": "/health", "maxConns": 110 }],
        "limits": { "maxHeaderBytes": 8192, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "hule930", "apiKeys": keys }] })
}

fn request(id: &str, key: &str) -> Vec<u8> {
    format!(
        "POST /open/pr HTTP/1.1\r\nHost: bot.example\r\nX-Knapweedglade-Request-Id: {id}\r\n\
         X-Knapweedglade-Deadline-Ms: 3000\r\nAuthorization: Token {key}\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
    .into_bytes()
}

pub fn run(scene: &Scene) -> Verdict {
    let Scene { record, folder, has_trouble } = scene;
    let store = Store::start(own_ip(1));
    store.put("op", "config", Some(&config(1, "botapp", &["key-kept", "key-dropped"])));
    let start = |number: u8, service: &str| {
        let id = format!("i-{service}-{number}");
        let work = Duration::from_millis(30);
        Runner::start(own_ip(20 + number), &id, service, work, record)
    };
    let old: Vec<Runner> = (0..3).map(|number| start(number, "botapp")).collect();
    let new: Vec<Runner> = (3..6).map(|number| start(number, "newapp")).collect();
    for (number, runner) in old.iter().chain(&new).enumerate() {
        store.put("servers", &runner.id, Some(&runner.entry(ZONES[number % 3])));
    }
    let gateways: Vec<Gateway> = (0..9)
        .map(|number: u8| {
            let zone = ZONES[usize::from(number) % 3];
            let name = format!("front-{zone}-{}", number / 3 + 1);
            let place =
                Place { name: &name, zone, ip: own_ip(100 + number), store: store.address };
            Gateway::start(folder, &place)
        })
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("the gateways are not ready");
    }
    // A start is a disruption of its machine, and the first checks of the tables follow it.
    std::thread::sleep(Duration::from_millis(8_000));
    let begun = record.now();
    record.line("the disturbance of the store begins");
    if *has_trouble {
        store.deafen_feeds();
    }
    record.sleep_until(begun + Duration::from_millis(500));
    let revision = store.put("op", "config", Some(&config(2, "newapp", &["key-kept"])));
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
                    let answer = call(front, &request(&id, &key), limit);
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
    for runner in old.iter().chain(&new) {
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
    record.line(format_args!("{broken} of {} requests were handled as version 1 allows", sent.len()));
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
