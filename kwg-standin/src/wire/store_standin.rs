use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use data_encoding::BASE64;
use kwg_h1::{HeadWriter, RequestHead};
use serde_json::{Value, json};

use super::wire_server::{RequestReader, serve};

/// Largest number of rows in one page of a table.
const PAGE_ROWS: usize = 500;

/// How the store responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Serves requests.
    #[default]
    Up,
    /// Answers 503.
    Busy,
    /// Answers 429.
    Throttled,
    /// Accepts requests without responding; closes their connections once the mode changes.
    Unresponsive,
    /// Has dropped its history: answers one feed request with 410, then serves again.
    HistoryDropped,
    /// Executes requests and closes the connection without a response.
    ResponsesDropped,
}

/// Stand-in for the platform's store: keeps rows in memory and serves its wire protocol.
#[derive(Debug, Clone)]
pub struct StoreStandin {
    address: SocketAddr,
    shared: Arc<SharedStore>,
}

#[derive(Debug, Default)]
struct SharedStore {
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    mode: StoreMode,
    /// Revision and Base64 value of each row, by table and key.
    rows: BTreeMap<(String, String), (u64, String)>,
    /// Every change: revision, table, key, and the value unless the row was removed.
    changes: Vec<(u64, String, String, Option<String>)>,
    calls: u64,
}

impl StoreStandin {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    /// The I/O error if no port can be bound.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(SharedStore::default());
        let serving = Arc::clone(&shared);
        let address = serve(move |reader| serving.serve(reader))?;
        Ok(Self { address, shared })
    }

    /// Address on which the store listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the store responds from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.state().mode = mode;
        self.shared.changed.notify_all();
    }

    /// Number of requests received so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.state().calls
    }

    /// Writes a row, or removes it if `value` is `None`.
    pub fn put(&self, table: &str, key: &str, value: Option<&[u8]>) {
        self.shared.state().put(table, key, value.map(|value| BASE64.encode(value)));
        self.shared.changed.notify_all();
    }

    /// The value of a row, or `None` if it does not exist.
    #[must_use]
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.state();
        let (_, value) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        BASE64.decode(value.as_bytes()).ok()
    }
}

impl SharedStore {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, reader: &mut RequestReader) -> io::Result<()> {
        while let Some((head, body)) = reader.next()? {
            self.state().calls += 1;
            let mode = self.state().mode;
            let (status, reply) = match mode {
                StoreMode::Unresponsive => {
                    while self.state().mode == StoreMode::Unresponsive {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    return Ok(());
                }
                StoreMode::Busy => (503, json!({})),
                StoreMode::Throttled => (429, json!({})),
                _ => self.handle_request(&head, &body),
            };
            if mode == StoreMode::ResponsesDropped {
                return Ok(());
            }
            let reply = HeadWriter::reply(status)
                .finish_with(reply.to_string().as_bytes())
                .expect("header text");
            reader.stream.write_all(&reply)?;
        }
        Ok(())
    }

    /// Executes a request, and returns the status and body of the response.
    fn handle_request(&self, head: &RequestHead, body: &[u8]) -> (u16, Value) {
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let table = parameter("table").unwrap_or_default();
        match path {
            "/knapweedglade/rows-get" => {
                let from = percent_decode(&parameter("from").unwrap_or_default());
                (200, self.state().read(&table, &from))
            }
            "/knapweedglade/rows-feed" => {
                let number = |name| parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                self.feed(&table, number("after"), Duration::from_millis(number("waitMs")))
            }
            "/knapweedglade/rows-tx" => {
                let reply = self.state().transact(body);
                self.changed.notify_all();
                reply
            }
            _ => (404, json!({})),
        }
    }

    /// Returns the changes of a table after a revision, once there are any or `wait` is over.
    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, Value) {
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        loop {
            match state.mode {
                StoreMode::Up | StoreMode::ResponsesDropped => {}
                StoreMode::HistoryDropped => {
                    state.mode = StoreMode::Up;
                    return (410, json!({}));
                }
                _ => return (503, json!({})),
            }
            let rows = state.changes_after(table, after);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || remaining.is_zero() {
                return (200, json!({ "rows": rows, "ver": state.revision, "nowMs": 1 }));
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Decodes the percent-encoded bytes of a query's value; other bytes stand for themselves.
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

impl StoreState {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.revision += 1;
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                self.rows.insert(name, (self.revision, value.clone()));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.changes.push((self.revision, table.to_owned(), key.to_owned(), value));
    }

    /// The first page of a table's rows with keys from `from` on.
    fn read(&self, table: &str, from: &str) -> Value {
        let rows =
            self.rows.iter().filter(|((name, key), _)| name == table && key.as_str() >= from);
        let mut rows = rows.map(|((table, key), (ver, value))| {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": ver })
        });
        let page: Vec<Value> = rows.by_ref().take(PAGE_ROWS).collect();
        let has_more = rows.next().is_some();
        json!({ "rows": page, "morePages": has_more, "ver": self.revision, "nowMs": 1 })
    }

    fn changes_after(&self, table: &str, after: u64) -> Vec<Value> {
        let changes = self.changes.iter().filter(|(ver, name, ..)| *ver > after && name == table);
        changes
            .map(|(ver, table, key, value)| match value {
                Some(value) => {
                    json!({ "table": table, "part": "", "key": key, "value": value, "ver": ver })
                }
                None => {
                    json!({ "table": table, "part": "", "key": key, "ver": ver, "tombstone": true })
                }
            })
            .collect()
    }

    /// Applies a transaction if the revisions that it expects match, and else returns 412.
    fn transact(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let entries = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or("").to_owned();
        for entry in entries("expectedRev") {
            let name = (text(&entry, "table"), text(&entry, "key"));
            let current = self.rows.get(&name).map_or(0, |(ver, _)| *ver);
            if entry["ver"].as_u64() != Some(current) {
                return (412, json!({ "rows": [], "ver": self.revision, "nowMs": 1 }));
            }
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
