//! A client's connection is reset just before the end of its stream; it resumes the stream, of which nothing is left.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use kwg_h1::HeadWriter;
use serde_json::json;

use crate::fleet;
use crate::gateway::{Gateway, Place};
use crate::http::{Requests, call_on, serve};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::{Scene, Verdict, own_ip};

/// Number of events of each stream.
const EVENTS: u32 = 5;
/// Time between the last event and the end of the stream.
const BEFORE_END: Duration = Duration::from_millis(400);
const LIMIT: Duration = Duration::from_secs(3);

pub fn run(scene: &Scene) -> Verdict {
    let Scene { record, folder, has_trouble } = scene;
    let store = Store::start(own_ip(1));
    store.put("op", "config", Some(&fleet::config(1, "botapp", &["key-kept"])));
    for number in 0..3 {
        let (id, of_runner) = (format!("i-{number}"), record.clone());
        let name = id.clone();
        let address =
            serve(own_ip(20 + number), move |requests| answer(requests, &name, &of_runner));
        let zone = fleet::ZONES[usize::from(number)];
        let entry = json!({ "service": "botapp", "address": address.to_string(), "zone": zone,
            "version": "v1", "slots": 12, "state": "ready", "coldLeftMs": 0, "seqNo": 1 });
        store.put("servers", &id, Some(&entry));
    }
    let gateways: Vec<Gateway> = (0..3)
        .map(|number: u8| {
            let zone = fleet::ZONES[usize::from(number)];
            let name = format!("front-{zone}-1");
            let place = Place { name, zone, ip: own_ip(100 + number), store: store.address };
            Gateway::start(folder, &place)
        })
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("the gateways are not ready");
    }
    std::thread::sleep(Duration::from_millis(5_000));
    let mut broken = 0;
    for (round, gateway) in gateways.iter().cycle().take(9).enumerate() {
        match play(record, gateway.front, round, *has_trouble) {
            Ok(is_broken) => broken += usize::from(is_broken),
            Err(error) => {
                record.line(format_args!("round {round} could not run: {error}"));
                return Verdict::NotRun("a stream has not begun");
            }
        }
    }
    record.line(format_args!("{broken} of 9 connections had bytes that are no answer"));
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// One client: a stream, whose connection may be reset before its end, and then a request that must not be repeated, on
/// the connection on which the stream ended. Returns whether there were bytes that are no answer.
fn play(record: &Record, front: SocketAddr, round: usize, has_trouble: bool) -> io::Result<bool> {
    let resume = |id: &str, last: u32| {
        let text = fleet::request("/draft/one", id, "key-kept");
        let field = format!("Last-Event-Id: {last}\r\nContent-Length");
        String::from_utf8_lossy(&text).replace("Content-Length", &field).into_bytes()
    };
    let (mut stream, mut seen);
    if has_trouble {
        // The network resets the client's first connection in the pause before the end of its stream.
        let proxy = Proxy::start(own_ip(200), front);
        let mut first = TcpStream::connect(proxy.address)?;
        first.set_read_timeout(Some(LIMIT))?;
        let id = format!("stream-{round}-a");
        record.line(format_args!("client sends {id}"));
        first.write_all(&fleet::request("/draft/one", &id, "key-kept"))?;
        let last = format!("id: {EVENTS}\n");
        let (mut events, mut part) = (String::new(), [0; 4_096]);
        while !events.contains(&last) {
            let count = first.read(&mut part)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            events.push_str(&String::from_utf8_lossy(&part[..count]));
        }
        proxy.reset_all();
        record.line(format_args!("{id}: all {EVENTS} events are here; its connection is reset"));
        stream = TcpStream::connect(front)?;
        let id = format!("stream-{round}-b");
        record.line(format_args!("client resumes it as {id} after event {EVENTS}"));
        let answer = call_on(&mut stream, &resume(&id, EVENTS), LIMIT);
        record.line(format_args!(
            "{id}: status {}, {} bytes, seal {:?}",
            answer.status,
            answer.body.len(),
            answer.seal
        ));
        seen = answer.rest;
    } else {
        stream = TcpStream::connect(front)?;
        let id = format!("stream-{round}-a");
        let answer = call_on(&mut stream, &fleet::request("/draft/one", &id, "key-kept"), LIMIT);
        record.line(format_args!("{id}: status {}, whole {}", answer.status, answer.is_complete));
        seen = answer.rest;
    }
    let id = format!("open-{round}");
    record.line(format_args!("client sends {id} on the same connection"));
    stream.write_all(&fleet::request("/open/pr", &id, "key-kept"))?;
    stream.set_read_timeout(Some(LIMIT))?;
    let mut part = [0; 4_096];
    while seen.len() < 30 {
        let count = stream.read(&mut part)?;
        if count == 0 {
            break;
        }
        seen.extend_from_slice(&part[..count]);
    }
    let begins = String::from_utf8_lossy(&seen[..seen.len().min(40)]).into_owned();
    record.line(format_args!("{id}: the connection goes on with {begins:?}"));
    Ok(!seen.starts_with(b"HTTP/1.1 "))
}

/// A runner: streams of five events below `/draft/`, of which the rest is sent after `Last-Event-Id`; if none is left,
/// 204, by which a server of event streams tells a client not to come again. A body elsewhere.
fn answer(requests: &mut Requests, name: &str, record: &Record) -> io::Result<()> {
    while let Some((head, _)) = requests.next()? {
        let id = head.headers.get("X-Knapweedglade-Request-Id").unwrap_or("").to_owned();
        let last = head.headers.get("Last-Event-Id").and_then(|text| text.parse().ok());
        record.line(format_args!("runner {name} runs {id}, last event {last:?}"));
        let is_stream = head.target.starts_with("/draft/");
        let status = if is_stream && last == Some(EVENTS) { 204 } else { 200 };
        let mut reply = HeadWriter::reply(status);
        reply.field("X-Knapweedglade-Request-Id", &id);
        reply.field("X-Knapweedglade-Server-Seal", format_args!("seal.{name}.{id}"));
        if status == 204 {
            requests.stream.write_all(&reply.finish().expect("header text"))?;
            continue;
        }
        if !is_stream {
            let body = format!("answer of {name} to {id}");
            let bytes = reply.finish_with(body.as_bytes()).expect("header text");
            requests.stream.write_all(&bytes)?;
            continue;
        }
        reply.field("Content-Type", "text/event-stream");
        reply.field("Transfer-Encoding", "chunked");
        let mut bytes = reply.finish().expect("header text");
        for event in last.unwrap_or(0) + 1..=EVENTS {
            let text = format!("id: {event}\ndata: {event} of {id}\n\n");
            HeadWriter::write_chunk(text.as_bytes(), &mut bytes);
        }
        requests.stream.write_all(&bytes)?;
        std::thread::sleep(BEFORE_END);
        requests.stream.write_all(HeadWriter::LAST_CHUNK)?;
    }
    Ok(())
}
