//! A runner leaves shortly after the open connections to the store have gone silent.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::lab::{CONTACT, Client, Lab, MARGIN, Verdict, config, request};

/// `drainMs` of the site.
const DRAIN: Duration = Duration::from_millis(2_500);
/// When the runner exits after its entry was removed: `drainMs` and a little longer.
const EXIT: Duration = Duration::from_millis(4_600);
/// How long requests are sent after the silence began.
const LENGTH: Duration = Duration::from_secs(9);

struct Call {
    sent: Instant,
    id: String,
    gateway: usize,
    status: u16,
    is_whole: bool,
}

pub fn run(lab: &mut Lab) -> io::Result<Verdict> {
    let mut fleet = lab.start_fleet(&config(1, &["key-1"]), 3, Duration::from_millis(250), 3)?;
    // What the reads of the store show is proved by now, and the feeds are followed.
    thread::sleep(Duration::from_secs(8));
    // Another runner changes its entry, as runners do: all instances follow the table from here on.
    let (store, leaving) = (fleet.store.clone(), fleet.runners[2].clone());
    store.put("servers", &fleet.runners[0].id, Some(&fleet.runners[0].entry(5)));
    thread::sleep(Duration::from_millis(100));
    lab.start = Instant::now();
    if lab.has_trouble {
        store.silence_open_connections();
    }
    let silence = Instant::now();
    let counter = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..15)
        .map(|number| {
            let gateway = number % fleet.gateways.len();
            let (address, counter) = (fleet.gateways[gateway].front, Arc::clone(&counter));
            thread::spawn(move || {
                let (mut client, mut calls) = (Client::new(address), Vec::new());
                while silence.elapsed() < LENGTH {
                    let id = format!("r{}", counter.fetch_add(1, Ordering::Relaxed));
                    let sent = Instant::now();
                    let answer = client.call(&request("POST", "/open/a", &id, "key-1", ""));
                    let (status, is_whole) = (answer.status, answer.is_whole);
                    calls.push(Call { sent, id, gateway, status, is_whole });
                    thread::sleep(Duration::from_millis(40));
                }
                calls
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    // The runner leaves without a report: its entry is removed, and it serves on for a while.
    store.put("servers", &leaving.id, None);
    let gone = Instant::now();
    thread::sleep(EXIT);
    leaving.exit();
    let exited = Instant::now();
    let mut calls = Vec::new();
    for client in clients {
        calls.extend(client.join().map_err(|_| io::Error::other("a client has failed"))?);
    }
    fleet.gateways.clear();
    calls.sort_by_key(|call| call.sent);
    lab.note(format_args!("open connections to the store silent at 0.000"))?;
    lab.note(format_args!(
        "entry of {} removed, acknowledged at {:.3}",
        leaving.id,
        lab.seconds(gone)
    ))?;
    lab.note(format_args!("{} exits at {:.3}", leaving.id, lab.seconds(exited)))?;
    for call in &calls {
        let (at, Call { id, gateway, status, is_whole, .. }) = (lab.seconds(call.sent), call);
        lab.note(format_args!(
            "{at:.3} sent {id} to front-ost-graz-{}, status {status}, whole {is_whole}",
            gateway + 1
        ))?;
    }
    // A machine in touch: for contactMs its connections were not reset, which the silence counts as.
    let since = (silence + CONTACT).max(gone + DRAIN) + MARGIN;
    let (mut late, mut lost) = (0, 0);
    for arrival in leaving.arrivals() {
        let call = calls.iter().find(|call| call.id == arrival.id);
        let in_touch = arrival.at > since && call.is_some_and(|call| call.sent > silence + CONTACT);
        late += u32::from(in_touch);
        let is_lost = in_touch && call.is_some_and(|call| call.status != 200);
        lost += u32::from(is_lost);
        lab.note(format_args!(
            "{:.3} {} reaches {}{}{}",
            lab.seconds(arrival.at),
            arrival.id,
            leaving.id,
            if in_touch { ", too late" } else { "" },
            if is_lost { ", and is lost at its exit" } else { "" },
        ))?;
    }
    lab.note(format_args!(
        "{late} requests reached {} more than {} ms after the acknowledgement from machines in touch; \
         {lost} of them had no answer of it",
        leaving.id,
        DRAIN.as_millis()
    ))?;
    println!("late {late}, lost {lost}");
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
