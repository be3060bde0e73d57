//! Another writer's entry lies among those of the runners, under a key that ends in a line break.

use std::collections::HashMap;
use std::io;
use std::thread;
use std::time::Duration;

use crate::lab::{Client, Lab, Verdict, config, request};

/// Number of clients, and of requests of each.
const CLIENTS: usize = 9;
const REQUESTS: usize = 40;

pub fn run(lab: &mut Lab) -> io::Result<Verdict> {
    let mut fleet = lab.start_fleet(&config(1, &["key-1"]), 2, Duration::from_millis(40), 1)?;
    let known = fleet.runners[1].clone();
    if lab.has_trouble {
        // A copy of the runner's own entry; as a name of a runner the key can't be read.
        fleet.store.put("servers", &format!("{}\r\n", known.id), Some(&known.entry(6)));
    }
    thread::sleep(Duration::from_secs(1));
    let front = fleet.gateways[0].front;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            thread::spawn(move || {
                let (mut caller, mut calls) = (Client::new(front), Vec::new());
                for number in 0..REQUESTS {
                    let (id, body) =
                        (format!("r{client}-{number}"), format!("order {client} {number}"));
                    let head = request("POST", "/open/a", &id, "key-1", "");
                    let length = format!("Content-Length: {}", body.len());
                    let head = String::from_utf8_lossy(&head).replace("Content-Length: 0", &length);
                    let answer = caller.call(&[head.as_bytes(), body.as_bytes()].concat());
                    calls.push((id, body, answer.status));
                }
                calls
            })
        })
        .collect();
    let mut sent = HashMap::new();
    for client in clients {
        for (id, body, status) in
            client.join().map_err(|_| io::Error::other("a client has failed"))?
        {
            lab.note(format_args!("sent {id} with body {body:?}, status {status}"))?;
            sent.insert(id, body);
        }
    }
    fleet.gateways.clear();
    let mut changed = 0;
    for arrival in fleet.runners.iter().flat_map(|runner| runner.arrivals()) {
        let is_own = sent.get(&arrival.id).is_some_and(|body| *body == arrival.body)
            && arrival.tenant == "hule930";
        changed += u32::from(!is_own);
        lab.note(format_args!(
            "run {} with body {:?} for tenant {:?}{}",
            arrival.id,
            arrival.body,
            arrival.tenant,
            if is_own { "" } else { ", which is not what the client sent" }
        ))?;
    }
    lab.note(format_args!(
        "{changed} requests ran with a body or tenant that is not the client's"
    ))?;
    println!("changed {changed} of {}", CLIENTS * REQUESTS);
    Ok(if changed > 0 { Verdict::Broken } else { Verdict::Held })
}
