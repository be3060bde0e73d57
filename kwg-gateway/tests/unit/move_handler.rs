//! What operators read in the status rows of version moves, while the rows change under the writer.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_channel::{Receiver, unbounded};
use async_io::{Timer, block_on};
use futures_lite::FutureExt;
use kwg_adapter::{OrderCodec, StoreCodec, StoreTable, StoreWrite};
use kwg_clock::{ClockHandle, ManualClock};
use kwg_gate::{
    MoveDecision, MovePhase, MoveTracker, ServiceName, StoreRow, TableReplica, VersionOrder,
};
use kwg_model::MonoTime;
use kwg_settings::GatewaySettings;
use kwg_wire::SharedTable;

use super::{MoveHandler, MoveTask};
use crate::control::control_state::{ControlPipes, ControlState};
use crate::control::move_watch::MoveWatch;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::TrafficInput;

/// Real time after which a row that was not written counts as never written.
const PATIENCE: Duration = Duration::from_secs(2);

/// Rows of a store by table and key: the revision, and the value as in a write.
#[derive(Debug, Default)]
struct StoreRows {
    rows: HashMap<(String, String), (u64, String)>,
    revision: u64,
}

/// The part of `text` between two others.
fn between<'a>(text: &'a str, before: &str, after: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(before)?;
    rest.split_once(after).map(|(part, _)| part)
}

impl StoreRows {
    fn set(&mut self, table: &str, key: &str, revision: u64, value: &str) {
        let row = (revision, value.to_owned());
        self.rows.insert((table.to_owned(), key.to_owned()), row);
        self.revision = self.revision.max(revision);
    }

    fn answer(&mut self, request: &str) -> (u16, String) {
        if request.starts_with("GET") {
            let key = between(request, "from=", " ").expect("a key").replace("%2F", "/");
            let row = self.rows.get(&("status".to_owned(), key.clone()));
            let row = row.map(|(revision, value)| {
                format!(r#"{{"key":"{key}","value":"{value}","ver":{revision}}}"#)
            });
            let rows = row.unwrap_or_default();
            return (200, format!(r#"{{"rows":[{rows}],"ver":{}}}"#, self.revision));
        }
        let conditions = between(request, r#""expectedRev":["#, "]").expect("conditions");
        let holds = conditions.split("},{").all(|condition| {
            let part = |name: &str| between(condition, &format!(r#""{name}":""#), "\"");
            let (table, key) = (part("table").expect("named"), part("key").expect("named"));
            let digits = condition.rsplit(':').next().expect("a revision");
            let expected: u64 = digits.trim_end_matches('}').parse().expect("a number");
            let known = self.rows.get(&(table.to_owned(), key.to_owned()));
            known.map_or(0, |(revision, _)| *revision) == expected
        });
        if !holds {
            return (412, r#"{"rows":[]}"#.to_owned());
        }
        let write = between(request, r#""writes":["#, "]").expect("a write");
        let key = between(write, r#""key":""#, "\"").expect("a key").to_owned();
        let value = value_in(write);
        self.set("status", &key, self.revision + 1, &value);
        (200, "{}".to_owned())
    }
}

fn value_in(write: &str) -> String {
    between(write, r#""value":""#, "\"").expect("a value").to_owned()
}

/// The value of a status row as it is written.
fn status(order: &VersionOrder, phase: MovePhase) -> String {
    let value = OrderCodec::encode_status(order, phase);
    let (table, value) = (StoreTable::Status, Some(value.as_slice()));
    let write = StoreWrite { table, key: "k", value, expected: None, unchanged: None };
    value_in(std::str::from_utf8(&StoreCodec::encode_write(&write)).expect("text"))
}

fn serve(mut stream: TcpStream, rows: &Mutex<StoreRows>) {
    let (mut text, mut part) = (String::new(), [0; 4_096]);
    while let Ok(count @ 1..) = stream.read(&mut part) {
        text.push_str(std::str::from_utf8(&part[..count]).expect("text"));
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = between(&head.to_lowercase(), "content-length: ", "\r\n")
            .map_or(0, |digits| digits.parse().expect("a number"));
        if body.len() < length {
            continue;
        }
        let (status, answer) = rows.lock().expect("not poisoned").answer(&text);
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", answer.len());
        stream.write_all((head + &answer).as_bytes()).expect("sent");
        text.clear();
    }
}

/// A store with these rows, which listens.
fn store() -> (SocketAddr, Arc<Mutex<StoreRows>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let rows = Arc::<Mutex<StoreRows>>::default();
    let served = Arc::clone(&rows);
    thread::spawn(move || {
        for stream in listener.incoming() {
            serve(stream.expect("accepted"), &served);
        }
    });
    (address, rows)
}

fn order(service: &str, revision: u64) -> VersionOrder {
    let (service, time_limit) = (ServiceName::new(service), Duration::from_secs(15));
    VersionOrder { service, to: "v2".to_owned(), time_limit, revision }
}

fn decided(order: &VersionOrder, phase: MovePhase) -> MoveTask {
    MoveTask::Decided(MoveDecision { order: order.clone(), phase, reason: "x".to_owned() })
}

/// The state of an instance at that store that knows these orders; what it sends to the traffic thread; and
/// the tasks of the writer.
fn state(
    store: SocketAddr,
    orders: &[&VersionOrder],
) -> (Rc<ControlState>, Receiver<TrafficInput>, Receiver<MoveTask>) {
    let text = format!(
        "[gateway]\nname = a-1\ndomain = a\nfront = 127.0.0.1:1\nready = 127.0.0.1:2\n\
         metrics = 127.0.0.1:3\npeer = 127.0.0.1:4\nstore = {store}\ngrace_s = 9\n[domains]\na = r\n"
    );
    let settings = GatewaySettings::parse("g.ini", &text).expect("valid");
    let ((traffic, inputs), (changes, _), (move_tasks, tasks)) =
        (unbounded(), unbounded(), unbounded());
    let pipes = ControlPipes { traffic, changes, move_tasks };
    let clock = ClockHandle::manual(&ManualClock::new());
    let state = ControlState::new(settings, 1, clock, GatewayMetrics::new(), pipes);
    let mut replica = TableReplica::default();
    for order in orders {
        let key = OrderCodec::status_key(&order.service);
        let text = format!(r#"{{"service":"{}","to":"v2","durationS":15}}"#, order.service);
        let value = Some(text.into_bytes());
        let row = StoreRow { key, value, revision: order.revision };
        replica.apply_feed(vec![row], 0, order.revision);
    }
    state.replicas.replace(HashMap::from([(SharedTable::Orders, replica)]));
    (Rc::new(state), inputs, tasks)
}

/// Runs the writer until it has reported `count` recorded phases, or [`PATIENCE`] is over.
fn run(
    state: &Rc<ControlState>,
    tasks: Receiver<MoveTask>,
    inputs: &Receiver<TrafficInput>,
    count: usize,
) -> Vec<(String, MovePhase)> {
    let mut recorded = Vec::new();
    let report = async {
        while recorded.len() < count {
            if let Ok(TrafficInput::Order(order, Some(phase))) = inputs.recv().await {
                recorded.push((order.service.to_string(), phase));
            }
        }
    };
    let patience = async {
        Timer::after(PATIENCE).await;
    };
    block_on(report.or(MoveHandler::new(state).run(tasks)).or(patience));
    recorded
}

/// At `completed` operators stop the old targets, and at `rolled_back` the new ones.
#[test]
fn the_end_of_a_move_that_was_recorded_first_stays_in_the_status_row() {
    for (first, second) in [
        (MovePhase::Completed, MovePhase::RolledBack),
        (MovePhase::RolledBack, MovePhase::Completed),
    ] {
        let (address, rows) = store();
        let order = order("llm", 3);
        let value = status(&order, first);
        rows.lock().expect("not poisoned").set("op", "rollout/llm", 3, "order");
        rows.lock().expect("not poisoned").set("status", "rollout/llm", 5, &value);
        let (state, inputs, tasks) = state(address, &[&order]);
        state.queue_move(decided(&order, second));
        let recorded = run(&state, tasks, &inputs, 1);
        let row = rows.lock().expect("not poisoned").rows[&("status".into(), "rollout/llm".into())]
            .clone();
        assert_eq!(row, (5, value), "{second:?} after {first:?}");
        assert_eq!(recorded, [("llm".to_owned(), first.recorded())]);
    }
}

/// The order of one service has changed in the store, which this instance has not heard yet.
#[test]
fn the_end_of_a_move_is_recorded_although_the_row_of_another_service_cannot_be_written() {
    let (address, rows) = store();
    let (first, second) = (order("first", 3), order("second", 4));
    rows.lock().expect("not poisoned").set("op", "rollout/first", 9, "order");
    rows.lock().expect("not poisoned").set("op", "rollout/second", 4, "order");
    let (state, inputs, tasks) = state(address, &[&first, &second]);
    state.queue_move(MoveTask::Ordered(first));
    state.queue_move(decided(&second, MovePhase::RolledBack));
    let recorded = run(&state, tasks, &inputs, 1);
    assert_eq!(recorded, [("second".to_owned(), MovePhase::RolledBack)]);
}

/// The others take its phase over from its reports, and decide nothing themselves.
#[test]
fn the_end_of_a_move_is_recorded_although_the_instance_that_decided_it_does_not_reach_the_store() {
    let (address, rows) = store();
    let order = order("llm", 3);
    rows.lock().expect("not poisoned").set("op", "rollout/llm", 3, "order");
    rows.lock().expect("not poisoned").set(
        "status",
        "rollout/llm",
        4,
        &status(&order, MovePhase::Running),
    );
    let (state, inputs, tasks) = state(address, &[&order]);
    let mut tracker = MoveTracker::default();
    tracker.apply_order(&order, Some(MovePhase::RolledBack), MonoTime::ZERO);
    let mut watch = MoveWatch::default();
    for millis in (0..=1_200).step_by(200) {
        let now = MonoTime::from_millis(millis);
        let moves = tracker.reports(now);
        watch.take_due(&moves, now).into_iter().for_each(|report| state.queue_end(report));
    }
    assert_eq!(tasks.len(), 1, "once");
    let recorded = run(&state, tasks, &inputs, 1);
    assert_eq!(recorded, [("llm".to_owned(), MovePhase::RolledBack)]);
    let row =
        rows.lock().expect("not poisoned").rows[&("status".into(), "rollout/llm".into())].1.clone();
    assert_eq!(row, status(&order, MovePhase::RolledBack));
}

#[test]
fn an_instance_that_records_its_own_decision_does_not_do_it_again() {
    let order = order("llm", 3);
    let mut tracker = MoveTracker::default();
    tracker.apply_order(&order, Some(MovePhase::RolledBack), MonoTime::ZERO);
    let (phase, reason) = (MovePhase::RolledBack, "x".to_owned());
    let mut watch = MoveWatch::default();
    watch.record_own(&MoveDecision { order, phase, reason });
    for millis in (0..=3_000).step_by(200) {
        let now = MonoTime::from_millis(millis);
        assert!(watch.take_due(&tracker.reports(now), now).is_empty());
    }
}
