//! The platform's store, with the disturbances that the pages name.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use data_encoding::BASE64;
use kwg_h1::HeadWriter;
use serde_json::{Value, json};

use crate::http::{Requests, serve};

/// Largest number of rows in one page of a table.
const PAGE_ROWS: usize = 500;

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

/// A change of a row; no value is a removal.
struct Change {
    at: Instant,
    revision: u64,
    table: String,
    key: String,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    changes: Vec<Change>,
    /// Changes up to this revision can't be had from the feed any more.
    dropped: u64,
    /// Feeds hear nothing.
    is_deaf: bool,
    /// How far reads are behind.
    lag: Option<Duration>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let shared = Arc::new(Shared::default());
        let serving = Arc::clone(&shared);
        let address = serve(ip, move |requests| serving.serve(requests));
        Self { address, shared }
    }

    /// Writes a row, or removes it; returns its revision. This is the operator's or a server's write, whose answer is the
    /// acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) -> u64 {
        let value = value.map(|value| BASE64.encode(value.to_string().as_bytes()));
        let revision = self.shared.state().put(table, key, value);
        self.shared.changed.notify_all();
        revision
    }

    /// From now on feeds hear nothing.
    pub fn deafen_feeds(&self) {
        self.shared.state().is_deaf = true;
    }

    /// Drops the history: feeds are cut off, and from now on reads are `lag` behind.
    pub fn drop_history(&self, lag: Duration) {
        let mut state = self.shared.state();
        (state.is_deaf, state.lag, state.dropped) = (false, Some(lag), state.revision);
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Reads show what is from now on.
    pub fn end_lag(&self) {
        self.shared.state().lag = None;
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, requests: &mut Requests) -> io::Result<()> {
        while let Some((head, body)) = requests.next()? {
            let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
            let field = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let found = pairs.find(|(key, _)| *key == name);
                found.map(|(_, value)| percent_decode(value)).unwrap_or_default()
            };
            let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
            // An answer takes 4 ms.
            std::thread::sleep(Duration::from_millis(4));
            let (status, reply) = match path {
                "/knapweedglade/rows-get" => {
                    let limit = field("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
                    (200, self.state().read(&field("table"), &field("from"), limit))
                }
                "/knapweedglade/rows-feed" => {
                    let wait = Duration::from_millis(number("waitMs").min(30_000));
                    self.feed(&field("table"), number("after"), wait)
                }
                "/knapweedglade/rows-tx" => {
                    let reply = self.state().transact(&body);
                    self.changed.notify_all();
                    reply
                }
                _ => (404, json!({})),
            };
            let reply = HeadWriter::reply(status).finish_with(reply.to_string().as_bytes());
            requests.stream.write_all(&reply.expect("header text"))?;
        }
        Ok(())
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, Value) {
        let due = Instant::now() + wait;
        let mut state = self.state();
        loop {
            if after < state.dropped {
                return (410, json!({}));
            }
            let left = due.saturating_duration_since(Instant::now());
            if !state.is_deaf {
                let rows = state.changes_after(table, after);
                if !rows.is_empty() || left.is_zero() {
                    return (200, json!({ "rows": rows, "ver": state.revision, "nowMs": 1 }));
                }
            }
            let left = if state.is_deaf { Duration::from_millis(50) } else { left };
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) -> u64 {
        self.revision += 1;
        let (table, key) = (table.to_owned(), key.to_owned());
        let revision = self.revision;
        self.changes.push(Change { at: Instant::now(), revision, table, key, value });
        revision
    }

    /// Rows of a table as they were at a moment; the newest ones without one.
    fn rows(&self, table: &str, moment: Option<Instant>) -> BTreeMap<&str, &Change> {
        let mut rows = BTreeMap::new();
        let known = |change: &&Change| moment.is_none_or(|moment| change.at <= moment);
        for change in self.changes.iter().filter(known).filter(|change| change.table == table) {
            match change.value {
                Some(_) => drop(rows.insert(change.key.as_str(), change)),
                None => drop(rows.remove(change.key.as_str())),
            }
        }
        rows
    }

    fn read(&self, table: &str, from: &str, limit: usize) -> Value {
        let moment = self.lag.and_then(|lag| Instant::now().checked_sub(lag));
        let rows = self.rows(table, moment);
        let mut rows = rows.into_values().filter(|change| change.key.as_str() >= from).map(row);
        let page: Vec<Value> = rows.by_ref().take(limit).collect();
        let more = rows.next().is_some();
        json!({ "rows": page, "morePages": more, "ver": self.revision, "nowMs": 1 })
    }

    fn changes_after(&self, table: &str, after: u64) -> Vec<Value> {
        let later = |change: &&Change| change.revision > after && change.table == table;
        self.changes.iter().filter(later).map(row).collect()
    }

    fn transact(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let entries = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or("").to_owned();
        let writes = entries("writes").into_iter().chain(entries("remove"));
        if writes.into_iter().any(|entry| matches!(entry["table"].as_str(), Some("op" | "servers")))
        {
            return (403, json!({}));
        }
        let mut holds = true;
        let mut current = Vec::new();
        for entry in entries("expectedRev") {
            let (table, key) = (text(&entry, "table"), text(&entry, "key"));
            let rows = self.rows(&table, None);
            let change = rows.get(key.as_str());
            holds &= entry["ver"].as_u64() == Some(change.map_or(0, |change| change.revision));
            current.extend(change.map(|change| row(change)));
        }
        if !holds {
            return (412, json!({ "rows": current, "ver": self.revision, "nowMs": 1 }));
        }
        for entry in entries("writes") {
            self.put(&text(&entry, "table"), &text(&entry, "key"), Some(text(&entry, "value")));
        }
        for entry in entries("remove") {
            self.put(&text(&entry, "table"), &text(&entry, "key"), None);
        }
        (200, json!({ "ver": self.revision, "nowMs": 1 }))
    }
}

fn row(change: &Change) -> Value {
    let Change { revision, table, key, value, .. } = change;
    match value {
        Some(value) => {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": revision })
        }
        None => {
            json!({ "table": table, "part": "", "key": key, "ver": revision, "tombstone": true })
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or("").as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at(part.len().min(2));
        bytes.extend(u8::from_str_radix(code, 16));
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
