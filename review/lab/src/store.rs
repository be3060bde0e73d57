//! The platform's store, as PROTOCOL tells: rows, the feed and conditional changes.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use data_encoding::BASE64;
use kwg_h1::HeadWriter;
use serde_json::{Value, json};

use crate::http::Connection;

/// A store in memory, which is linearizable and loses nothing.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A change: version, table, key, and the value unless the row was dropped.
type Change = (u64, String, String, Option<String>);

#[derive(Default)]
struct State {
    ver: u64,
    rows: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<Change>,
    /// Number of connections so far.
    connections: u64,
    /// Connections up to this number deliver nothing further.
    silent_up_to: u64,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let serving = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = Arc::clone(&serving);
                let number = {
                    let mut state = shared.state();
                    state.connections += 1;
                    state.connections
                };
                thread::spawn(move || shared.serve(&mut Connection::new(stream), number));
            }
        });
        Ok(Self { address, shared })
    }

    /// Writes a row, or drops it. The return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let value = value.map(|value| BASE64.encode(value.to_string().as_bytes()));
        self.shared.state().put(table, key, value);
        self.shared.changed.notify_all();
    }

    /// Lets all connections that are open go silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) {
        let mut state = self.shared.state();
        state.silent_up_to = state.connections;
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, connection: &mut Connection, number: u64) -> io::Result<()> {
        connection.stream.set_nodelay(true)?;
        while let Some((head, body)) = connection.next_request()? {
            let (status, reply) = self.handle(&head.target, &body);
            if number > self.state().silent_up_to {
                let reply = HeadWriter::reply(status)
                    .finish_with(reply.to_string().as_bytes())
                    .expect("header text");
                connection.send(&reply)?;
            }
        }
        Ok(())
    }

    fn handle(&self, target: &str, body: &[u8]) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
        };
        let number = |name: &str| field(name).and_then(|text| text.parse().ok());
        let table = field("table").unwrap_or_default();
        match path {
            "/knapweedglade/rows-get" => {
                let from = field("from").unwrap_or_default();
                let limit = number("limit").unwrap_or(500).min(500) as usize;
                (200, self.state().page(&table, &from, limit))
            }
            "/knapweedglade/rows-feed" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                (200, self.feed(&table, number("after").unwrap_or(0), wait))
            }
            "/knapweedglade/rows-tx" => {
                let reply = self.state().transact(body);
                self.changed.notify_all();
                reply
            }
            _ => (404, json!({})),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Value {
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let rows = state.changes_after(table, after);
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return json!({ "rows": rows, "ver": state.ver, "nowMs": 1 });
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.ver += 1;
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => drop(self.rows.insert(name, (self.ver, value.clone()))),
            None => drop(self.rows.remove(&name)),
        }
        self.changes.push((self.ver, table.to_owned(), key.to_owned(), value));
    }

    fn page(&self, table: &str, from: &str, limit: usize) -> Value {
        let of_table = |((name, key), _): &(&(String, String), &(u64, String))| {
            name == table && key.as_str() >= from
        };
        let mut rows = self.rows.iter().filter(of_table).map(|((table, key), (ver, value))| {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": ver })
        });
        let page: Vec<Value> = rows.by_ref().take(limit).collect();
        json!({ "rows": page, "morePages": rows.next().is_some(), "ver": self.ver, "nowMs": 1 })
    }

    fn changes_after(&self, table: &str, after: u64) -> Vec<Value> {
        let later = self.changes.iter().filter(|(ver, name, ..)| *ver > after && name == table);
        let row = |(ver, table, key, value): &Change| match value {
            Some(value) => {
                json!({ "table": table, "part": "", "key": key, "value": value, "ver": ver })
            }
            None => {
                json!({ "table": table, "part": "", "key": key, "ver": ver, "tombstone": true })
            }
        };
        later.map(row).collect()
    }

    fn transact(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let entries = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or("").to_owned();
        for entry in entries("expectedRev") {
            let name = (text(&entry, "table"), text(&entry, "key"));
            let current = self.rows.get(&name).map_or(0, |(ver, _)| *ver);
            if entry["ver"].as_u64() != Some(current) {
                return (412, json!({ "rows": [], "ver": self.ver, "nowMs": 1 }));
            }
        }
        for entry in entries("writes") {
            self.put(&text(&entry, "table"), &text(&entry, "key"), Some(text(&entry, "value")));
        }
        for entry in entries("remove") {
            self.put(&text(&entry, "table"), &text(&entry, "key"), None);
        }
        (200, json!({ "ver": self.ver, "nowMs": 1 }))
    }
}

/// Decodes the percent-encoded bytes of a query's value.
fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or("").as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at(part.len().min(2));
        bytes.extend(u8::from_str_radix(code, 16));
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
