//! A new version that is bad on one route only, which gets few requests.

use std::collections::HashMap;
use std::error::Error;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kwg_standin::StoreStandin;

use crate::client;
use crate::fleet::{Fleet, ZONES};
use crate::record::Record;
use crate::runner::{Runner, Service};

const SERVICE: &str = "botapp";
/// Requests a second on the busy route, and one on the other for so many of them.
const BUSY_PER_S: u32 = 120;
const BUSY_PER_RARE: u32 = 60;
/// `durationS` of the order.
const MOVE_S: u64 = 12;
/// `heartbeatMs` of the deployment.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Bounds of the deployment.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_secs(5);
/// Bad answers after which the version must get no further requests.
const BAD_ANSWERS: usize = 50;
/// Time from the start of the traffic to the order, more than `contactMs`, and from there to the end.
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(84);

/// Plays the case; returns whether the rule held.
pub fn play(file: &str, has_trouble: bool) -> Result<bool, Box<dyn Error>> {
    let record = Record::create(file)?;
    let service = Service::new(&record, has_trouble.then_some(("/merge/", "v2")));
    let start = |number: usize, version: &'static str| {
        Runner::start(&format!("i-{version}-{number}"), version, &service)
    };
    let old: Vec<Runner> = (0..3).map(|number| start(number, "v1")).collect::<Result<_, _>>()?;
    let new: Vec<Runner> = (0..3).map(|number| start(number, "v2")).collect::<Result<_, _>>()?;
    let store = StoreStandin::start()?;
    store.put("op", "config", Some(config().as_bytes()));
    register(&store, &old, 1);
    let fleet = Fleet::start(store.address(), &record)?;
    record.line(format_args!("gateways ready: {}", fleet.gateways.len()));

    let sent: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let statuses: Arc<Mutex<HashMap<u16, u32>>> = Arc::default();
    let begin = record.now();
    let order_at = begin + BEFORE;
    let end = order_at + AFTER;
    let (mut count, mut ordered, mut ended) = (0_u32, None, false);
    // Which runners are there, and how often they have written their entries.
    let (mut has_old, mut has_new, mut beats) = (true, false, 1_u32);
    // When the new runners leave after a roll-back.
    let mut leaving: Option<Duration> = None;
    while record.now() < end {
        let now = record.now();
        if ordered.is_none() && now >= order_at {
            has_new = true;
            register(&store, &new, beats + 1);
            let order =
                format!("{{\"service\":\"{SERVICE}\",\"to\":\"v2\",\"durationS\":{MOVE_S}}}");
            store.put("op", &format!("rollout/{SERVICE}"), Some(order.as_bytes()));
            ordered = Some(now);
            record.line("order: move botapp to v2");
        }
        let status = store.get("status", &format!("rollout/{SERVICE}")).unwrap_or_default();
        let status = String::from_utf8_lossy(&status).into_owned();
        if !ended && status.contains("completed") {
            // The platform stops the old runners at that moment.
            ended = true;
            old.iter().for_each(Runner::stop);
            has_old = false;
            for runner in &old {
                store.put("servers", &runner.id, None);
            }
            record.line(format_args!("status: {status}; the old runners stop"));
        }
        if !ended && status.contains("rolled_back") {
            ended = true;
            record.line(format_args!("status: {status}"));
            leaving = Some(now + Duration::from_secs(3));
        }
        if leaving.take_if(|at| *at <= now).is_some() {
            has_new = false;
            for runner in &new {
                store.put("servers", &runner.id, None);
            }
        }
        if now >= begin + HEARTBEAT * beats {
            beats += 1;
            if has_old {
                register(&store, &old, beats);
            }
            if has_new {
                register(&store, &new, beats);
            }
        }
        // Open loop: what is due is sent, each request by a client of its own.
        let due = (now - begin).as_secs_f64() * f64::from(BUSY_PER_S);
        while f64::from(count) < due {
            count += 1;
            let front = fleet.gateways[count as usize % fleet.gateways.len()].front;
            send(&record, &sent, &statuses, front, ("GET", "/scan/a", format!("s{count}")));
            if count % BUSY_PER_RARE == 0 {
                let other =
                    &fleet.gateways[(count / BUSY_PER_RARE) as usize % fleet.gateways.len()];
                send(
                    &record,
                    &sent,
                    &statuses,
                    other.front,
                    ("POST", "/merge/a", format!("o{count}")),
                );
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_secs(4));
    for line in fleet.log_lines("event=move-") {
        record.line(format_args!("log of the first gateway: {line}"));
    }
    drop(fleet);
    let ordered = ordered.ok_or("no order was given")?;
    let sent = sent.lock().map_err(|_| "a client panicked")?.clone();
    let runs = service.runs.lock().map_err(|_| "a runner panicked")?.clone();
    record.line(format_args!("statuses: {:?}", statuses.lock().map_err(|_| "a client panicked")?));

    let deadline = ordered + Duration::from_secs(MOVE_S);
    let arrivals = service.arrivals.lock().map_err(|_| "a runner panicked")?.clone();
    let in_move: Vec<_> =
        arrivals.iter().filter(|arrival| (ordered..deadline).contains(&arrival.at)).collect();
    let exposed = in_move.iter().filter(|arrival| arrival.version == "v2").count() as f64;
    let allowed = EXPOSURE_SHARE * in_move.len() as f64 + EXPOSURE_SLACK;
    let mut bad: Vec<Duration> = runs.iter().filter(|run| run.failed).map(|run| run.at).collect();
    bad.sort_unstable();
    let last_allowed = bad.get(BAD_ANSWERS - 1).map(|at| *at + ROLLBACK);
    let late = runs.iter().filter(|run| {
        let is_late = sent.get(&run.id).zip(last_allowed).is_some_and(|(at, last)| *at > last);
        run.version == "v2" && is_late
    });
    let late = late.count();
    record.line(format_args!(
        "between the order and its deadline: {} requests, {exposed} at v2, allowed {allowed}",
        in_move.len()
    ));
    record.line(format_args!(
        "bad answers of v2: {}; requests that it got later than 5 s after the 50th: {late}",
        bad.len()
    ));
    if in_move.is_empty() || !ended {
        return Err("no traffic, or no end of the move".into());
    }
    // The rule sets bounds for a version that is bad, as its answers show it.
    let is_broken = !bad.is_empty() && (exposed > allowed || late > 0);
    let verdict = if is_broken { "EXPOSURE is broken" } else { "EXPOSURE held" };
    record.line(verdict);
    println!("{verdict}");
    Ok(!is_broken)
}

fn send(
    record: &Record,
    sent: &Arc<Mutex<HashMap<String, Duration>>>,
    statuses: &Arc<Mutex<HashMap<u16, u32>>>,
    front: std::net::SocketAddr,
    (method, path, id): (&'static str, &'static str, String),
) {
    let (record, sent, statuses) = (record.clone(), Arc::clone(sent), Arc::clone(statuses));
    std::thread::spawn(move || {
        sent.lock().expect("no holder panics").insert(id.clone(), record.now());
        record.line(format_args!("sent {id} {method} {path} to={front}"));
        let status = client::call(front, method, path, &id);
        record.line(format_args!("answered {id} {status}"));
        *statuses.lock().expect("no holder panics").entry(status).or_default() += 1;
    });
}

/// Writes the entries of these runners, as they do themselves every `heartbeatMs`.
fn register(store: &StoreStandin, runners: &[Runner], number: u32) {
    for (runner, (zone, _)) in runners.iter().zip(ZONES) {
        store.put("servers", &runner.id, Some(runner.entry(SERVICE, zone, number).as_bytes()));
    }
}

/// The configuration: the two plain routes of the update bot.
fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u8| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"bot.example\",\"prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeoutMs\":1500,\"targetLatencyMs\":200,\"priority\":2,\
             \"service\":\"{SERVICE}\",\"maxAttempts\":{attempts},\"authExempt\":false}}"
        )
    };
    let routes = [
        route("repo-scan", "/scan/", "idempotent", 2),
        route("pr-merge", "/merge/", "non_idempotent", 1),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/health\",\"maxConns\":110}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule\",\"apiKeys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
