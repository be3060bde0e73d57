//! The configuration changes shortly after the open connections to the store have gone silent.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::lab::{CONTACT, Client, Lab, MARGIN, Verdict, config, request, route};

/// `configApplyMs` of the site.
const APPLY: Duration = Duration::from_millis(2_500);
/// How long requests are sent after the silence began.
const LENGTH: Duration = Duration::from_secs(8);

struct Call {
    sent: Instant,
    what: &'static str,
    id: String,
    gateway: usize,
    status: u16,
}

pub fn run(lab: &mut Lab) -> io::Result<Verdict> {
    let mut fleet =
        lab.start_fleet(&config(1, &["key-1", "key-2"]), 3, Duration::from_millis(20), 3)?;
    // What the reads of the store show is proved by now, and the feeds are followed.
    thread::sleep(Duration::from_secs(8));
    // A first change of the configuration, which all instances apply at once.
    let mut second = config(4, &["key-1", "key-2"]);
    second["routes"][1]["timeoutMs"] = 2_900.into();
    fleet.store.put("op", "config", Some(&second));
    thread::sleep(Duration::from_millis(200));
    lab.start = Instant::now();
    if lab.has_trouble {
        fleet.store.silence_open_connections();
    }
    let silence = Instant::now();
    thread::sleep(Duration::from_millis(200));
    // The next one takes a key away and adds a route.
    let mut third = config(7, &["key-1"]);
    third["routes"][1]["timeoutMs"] = 2_900.into();
    let routes = third["routes"].as_array_mut().ok_or_else(|| io::Error::other("no routes"))?;
    routes.push(route("new", "/new/", "idempotent"));
    fleet.store.put("op", "config", Some(&third));
    let acknowledged = Instant::now();
    let clients: Vec<_> = (0..fleet.gateways.len())
        .map(|gateway| {
            let address = fleet.gateways[gateway].front;
            thread::spawn(move || {
                let (mut client, mut calls, mut number) = (Client::new(address), Vec::new(), 0);
                while silence.elapsed() < LENGTH {
                    for (what, path, key) in
                        [("key taken away", "/open/a", "key-2"), ("route added", "/new/a", "key-1")]
                    {
                        number += 1;
                        let id = format!("r{gateway}-{number}");
                        let sent = Instant::now();
                        let status = client.call(&request("POST", path, &id, key, "")).status;
                        calls.push(Call { sent, what, id, gateway, status });
                    }
                    thread::sleep(Duration::from_millis(40));
                }
                calls
            })
        })
        .collect();
    let mut calls = Vec::new();
    for client in clients {
        calls.extend(client.join().map_err(|_| io::Error::other("a client has failed"))?);
    }
    fleet.gateways.clear();
    calls.sort_by_key(|call| call.sent);
    lab.note(format_args!("open connections to the store silent at 0.000"))?;
    lab.note(format_args!("version 7 acknowledged at {:.3}", lab.seconds(acknowledged)))?;
    let runs: Vec<_> = fleet.runners.iter().flat_map(|runner| runner.arrivals()).collect();
    // A machine in touch: for contactMs its connections were not reset, which the silence counts as.
    let since = (silence + CONTACT + MARGIN).max(acknowledged + APPLY);
    let (mut dropped_keys, mut missing_routes) = (0, 0);
    for Call { sent, what, id, gateway, status } in &calls {
        let has_run = runs.iter().any(|run| run.id == *id);
        let is_key = *what == "key taken away" && has_run;
        let is_route = *what == "route added" && *status == 404;
        let is_late = *sent > since && (is_key || is_route);
        dropped_keys += u32::from(is_late && is_key);
        missing_routes += u32::from(is_late && is_route);
        lab.note(format_args!(
            "{:.3} sent {id} ({what}) to front-ost-graz-{}, status {status}, run {has_run}{}",
            lab.seconds(*sent),
            gateway + 1,
            if is_late { ", as only an older version allows" } else { "" },
        ))?;
    }
    lab.note(format_args!(
        "sent to machines in touch more than {} ms after the acknowledgement: {dropped_keys} requests \
         run with a key that was taken away, {missing_routes} refused with 404 though the route is there",
        APPLY.as_millis()
    ))?;
    println!("dropped key run {dropped_keys}, added route refused {missing_routes}");
    let is_broken = dropped_keys + missing_routes > 0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
