//! A client resumes a stream whose connection broke after its last event.

use std::io;
use std::time::Duration;

use crate::http::Connection;
use crate::lab::{Lab, Verdict, config, request};

pub fn run(lab: &mut Lab) -> io::Result<Verdict> {
    let mut fleet = lab.start_fleet(&config(1, &["key-1"]), 2, Duration::from_millis(20), 1)?;
    let front = fleet.gateways[0].front;
    // The last event that the client has: with the disruption all of them, since the connection broke before the
    // end of the stream.
    let last = if lab.has_trouble { 6 } else { 0 };
    let mut connection = Connection::open(front)?;
    let extra = format!("Last-Event-Id: {last}\r\n");
    let mut broken = 0;
    for (number, (path, extra)) in
        [("/stream/a", extra.as_str()), ("/open/a", ""), ("/open/b", "")].iter().enumerate()
    {
        let id = format!("r{number}");
        lab.note(format_args!("sent {id} POST {path} {}", extra.trim()))?;
        connection.send(&request("POST", path, &id, "key-1", extra))?;
        let answer = connection.answer(Duration::from_secs(4));
        std::thread::sleep(Duration::from_millis(200));
        let runs = fleet.runners.iter().flat_map(|runner| runner.arrivals());
        let has_run = runs.filter(|run| run.id == id).count();
        let is_own = answer.is_whole && answer.field("X-Knapweedglade-Request-Id") == id;
        let start = String::from_utf8_lossy(&connection.inbox).into_owned();
        lab.note(format_args!(
            "answer to {id}: status {}, whole {}, of this request {is_own}; run {has_run} times; \
             bytes read where the answer is due: {start:?}",
            answer.status, answer.is_whole
        ))?;
        broken += u32::from(!is_own);
    }
    fleet.gateways.clear();
    lab.note(format_args!("{broken} answers were not the answer to their request"))?;
    println!("broken {broken}");
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}
