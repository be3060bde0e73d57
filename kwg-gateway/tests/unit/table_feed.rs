//! What an instance knows of the targets after an outage of the store, with a store that follows a script.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use async_channel::{Receiver, bounded, unbounded};
use async_io::{Timer, block_on};
use futures_lite::FutureExt;
use kwg_clock::{ClockHandle, ManualClock};
use kwg_settings::GatewaySettings;
use kwg_wire::SharedTable;
use rustix::net::SendFlags;

use super::TableFeed;
use crate::control::control_state::{ControlPipes, ControlState, TableChanges};
use crate::control::feed_alarm::FeedAlarm;
use crate::gateway_metrics::GatewayMetrics;

/// Real time after which the script counts as not played.
const PATIENCE: Duration = Duration::from_secs(5);

/// The revision after which a call asks for changes; none if it reads the table.
fn feed_start(request: &str) -> Option<u64> {
    let (_, rest) = request.split_once("after=")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// What the store does with one call.
enum StoreAct {
    /// Answers it.
    Answer(String),
    /// Answers a call for changes with those rows that are later than the revision it names.
    Changes(Vec<(u64, String)>),
    /// Answers a reading of the table; calls for changes before it get none.
    Table(String),
    /// Answers it; the connection is closed by the time the answer can be read.
    Last(String),
    /// Closes the connection.
    Close,
}

/// A row of a target that is ready, as the store sends it.
fn ready_row(key: &str, revision: u64) -> String {
    let value = r#"{\"service\":\"llm\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\"}"#;
    format!(r#"{{"key":"{key}","value":"{value}","ver":{revision}}}"#)
}

fn removed_row(key: &str, revision: u64) -> String {
    format!(r#"{{"key":"{key}","tombstone":true,"ver":{revision}}}"#)
}

fn rows(rows: &[String], revision: u64, has_more: bool) -> StoreAct {
    let rows = rows.join(",");
    StoreAct::Answer(format!(r#"{{"rows":[{rows}],"ver":{revision},"morePages":{has_more}}}"#))
}

/// Answers a call about the instance's own row, which is at this revision.
fn own_row_reply(request: &str, revision: u64) -> Option<String> {
    let row =
        format!(r#"{{"rows":[{{"key":"instance/a-1","value":"","ver":{revision}}}],"ver":99}}"#);
    match request.starts_with("POST") {
        true => Some("{}".to_owned()),
        false => request.contains("instance").then_some(row),
    }
}

fn send(stream: &mut TcpStream, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).expect("sent");
}

/// Sends an answer together with the end of the connection.
fn send_last(stream: TcpStream, body: &str) {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let sent = rustix::net::send(&stream, answer.as_bytes(), SendFlags::MORE).expect("sent");
    assert_eq!(sent, answer.len());
    drop(stream);
}

/// A store that plays the script and then answers nothing, but for calls about the instance's own row. The
/// receiver closes when it is played.
fn store(
    script: Vec<StoreAct>,
    own_rows: &[u64],
    writes: &Arc<AtomicUsize>,
) -> (SocketAddr, Receiver<()>) {
    let (mut own_rows, writes) = (own_rows.to_vec(), Arc::clone(writes));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (playing, played) = bounded(1);
    thread::spawn(move || {
        let (mut script, mut playing) = (VecDeque::from(script), Some(playing));
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepted");
            let mut request = [0; 4_096];
            while let Ok(length @ 1..) = stream.read(&mut request) {
                let text = String::from_utf8_lossy(&request[..length]);
                if let Some(reply) = own_row_reply(&text, own_rows[0]) {
                    if text.starts_with("POST") {
                        writes.fetch_add(1, Ordering::Relaxed);
                    } else if own_rows.len() > 1 {
                        own_rows.remove(0);
                    }
                    send(&mut stream, &reply);
                    continue;
                }
                let after = feed_start(&text);
                if let (Some(StoreAct::Table(_)), Some(after)) = (script.front(), after) {
                    thread::sleep(Duration::from_millis(5));
                    send(&mut stream, &format!(r#"{{"rows":[],"ver":{after}}}"#));
                    continue;
                }
                let act = match (script.pop_front(), after) {
                    (Some(StoreAct::Changes(changes)), Some(after)) => {
                        let last = changes.iter().map(|(revision, _)| *revision).max();
                        let later = changes.into_iter().filter(|(revision, _)| *revision > after);
                        let later: Vec<String> = later.map(|(_, row)| row).collect();
                        Some(rows(&later, last.unwrap_or(after), false))
                    }
                    (act, _) => act,
                };
                match act {
                    Some(StoreAct::Answer(body) | StoreAct::Table(body)) => {
                        send(&mut stream, &body);
                    }
                    Some(StoreAct::Last(body)) => {
                        send_last(stream, &body);
                        break;
                    }
                    Some(StoreAct::Close | StoreAct::Changes(_)) => break,
                    None => drop(playing.take()),
                }
            }
        }
    });
    (address, played)
}

/// What has come of a script.
struct Played {
    state: Rc<ControlState>,
    /// What was queued for forwarding to peers.
    changes: Receiver<TableChanges>,
    /// Number of writes of the instance's own row.
    writes: usize,
}

/// As [`play`], by an instance that has not left.
fn state_after(script: Vec<StoreAct>, own_row: u64, step: Duration) -> Rc<ControlState> {
    play(script, &[own_row], step, false).state
}

/// Follows a store that plays the script, each wait of `step` at once. The store shows the instance's own row
/// at one of `own_rows` after the other, and then at the last one.
fn play(script: Vec<StoreAct>, own_rows: &[u64], step: Duration, has_left: bool) -> Played {
    let writes = Arc::new(AtomicUsize::new(0));
    let (store, played) = store(script, own_rows, &writes);
    let text = format!(
        "[gateway]\nname = a-1\ndomain = a\nfront = 127.0.0.1:1\nready = 127.0.0.1:2\n\
         metrics = 127.0.0.1:3\npeer = 127.0.0.1:4\nstore = {store}\ngrace_s = 9\n[domains]\na = r\n"
    );
    let settings = GatewaySettings::parse("g.ini", &text).expect("valid");
    let ((traffic, inputs), (changes, changed), (move_tasks, tasks)) =
        (unbounded(), unbounded(), unbounded());
    let pipes = ControlPipes { traffic, changes, move_tasks };
    let clock = ManualClock::new();
    let handle = ClockHandle::manual(&clock);
    let state = Rc::new(ControlState::new(settings, 1, handle, GatewayMetrics::new(), pipes));
    state.set_store_reader(true);
    if has_left {
        state.leave();
    }
    let (_waker, woken) = bounded(1);
    let (alarm, _other) = FeedAlarm::pair();
    let following = async {
        TableFeed::new(&state, SharedTable::Targets, woken, alarm).run().await;
        false
    };
    let playing = async {
        while !played.is_closed() {
            Timer::after(Duration::from_millis(20)).await;
            // The first reading may take long on a busy machine, and must not time out.
            if !state.is_filled(SharedTable::Targets) {
                continue;
            }
            // Less than the limit of a call, which the store answers at once.
            clock.advance(step);
        }
        true
    };
    let patience = async {
        Timer::after(PATIENCE).await;
        false
    };
    assert!(block_on(following.or(playing).or(patience)), "the script is not played");
    drop((inputs, tasks));
    Played { state, changes: changed, writes: writes.load(Ordering::Relaxed) }
}

fn targets(state: &ControlState) -> Vec<String> {
    state.registry.borrow().entries().map(|entry| entry.id.to_string()).collect()
}

#[test]
fn targets_whose_entries_lapsed_in_an_outage_are_kept_when_the_first_answer_removes_them() {
    let first = rows(&[ready_row("t1", 3), ready_row("t2", 4)], 4, false);
    let mut script = vec![first];
    script.extend((0..4).map(|_| StoreAct::Close));
    script.push(rows(&[removed_row("t1", 5), removed_row("t2", 6)], 6, false));
    let state = state_after(script, 0, Duration::from_millis(700));
    assert_eq!(targets(&state), ["t1", "t2"]);
}

#[test]
fn a_target_that_is_removed_between_two_pages_of_a_reading_is_not_used() {
    let script = vec![
        rows(&[ready_row("t1", 3)], 10, true),
        // t1 is removed at 11.
        rows(&[ready_row("t2", 4)], 12, false),
        StoreAct::Changes(vec![(11, removed_row("t1", 11)), (12, ready_row("t2", 12))]),
    ];
    let state = state_after(script, 0, Duration::from_millis(20));
    assert_eq!(targets(&state), ["t2"]);
    assert_eq!(state.revision(SharedTable::Targets), 12);
}

/// A reading, and a check of it that lacks t1.
fn play_check(own_rows: &[u64], has_left: bool) -> Played {
    let script = vec![
        rows(&[ready_row("t1", 5), ready_row("t2", 4)], 20, false),
        table(&[ready_row("t2", 4)], 30),
        StoreAct::Changes(Vec::new()),
    ];
    play(script, own_rows, Duration::from_millis(20), has_left)
}

fn table(entries: &[String], revision: u64) -> StoreAct {
    let StoreAct::Answer(body) = rows(entries, revision, false) else { unreachable!() };
    StoreAct::Table(body)
}

#[test]
fn a_check_is_proved_by_a_later_row_of_the_instance_itself() {
    let Played { state, changes, writes } = play_check(&[25], false);
    assert_eq!(targets(&state), ["t2"], "t1 has been removed");
    assert_eq!(state.covered_revision(SharedTable::Targets), 25);
    assert_eq!(writes, 0, "the row is late enough");
    let found = changes.try_recv().expect("peers that do not read the store are told").changes;
    let keys: Vec<&str> = found.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!((keys, found.base, found.revision), (vec!["t1"], 0, 0));
}

#[test]
fn a_check_that_may_be_stale_removes_no_later_target() {
    let Played { state, writes, .. } = play_check(&[15], false);
    assert_eq!(targets(&state), ["t1", "t2"]);
    assert_eq!(state.covered_revision(SharedTable::Targets), 5);
    assert!(writes > 0, "the row has to be later than the first reading");
}

/// Checks `count` times what may be stale; the store shows the own row at an earlier revision.
fn play_unproved_checks(count: u64) -> Played {
    let both = [ready_row("t1", 5), ready_row("t2", 4)];
    let mut script = vec![rows(&both, 20, false)];
    script.extend((0..count).map(|number| table(&both, 30 + number)));
    script.push(StoreAct::Changes(Vec::new()));
    play(script, &[15], Duration::from_millis(200), false)
}

/// Guards against a write of the own row with each check while readings are stale.
#[test]
fn checks_of_stale_readings_write_the_own_row_once() {
    assert_eq!(play_unproved_checks(4).writes, 1);
}

/// Guards against checks that never end because the own row was removed after it had been written.
#[test]
fn the_own_row_is_written_again_if_readings_do_not_show_it_for_long() {
    assert_eq!(play_unproved_checks(8).writes, 2);
}

#[test]
fn a_check_after_which_the_own_row_is_an_earlier_one_removes_no_target() {
    let Played { state, .. } = play_check(&[25, 15], false);
    assert_eq!(targets(&state), ["t1", "t2"]);
}

#[test]
fn an_instance_that_has_left_does_not_write_its_row_again() {
    let Played { writes, .. } = play_check(&[0], true);
    assert_eq!(writes, 0);
}

#[test]
fn a_table_is_checked_after_its_feed_broke_off() {
    let both = [ready_row("t1", 5), ready_row("t2", 4)];
    let script = vec![
        rows(&both, 20, false),
        table(&both, 30),
        StoreAct::Close,
        table(&[ready_row("t2", 4)], 60),
        StoreAct::Changes(Vec::new()),
    ];
    let Played { state, .. } = play(script, &[25, 25, 40], Duration::from_millis(20), false);
    assert_eq!(targets(&state), ["t2"], "the feed had not told that t1 was removed");
}

/// Guards against changes that are missed for good when the feed is cut between two polls.
#[test]
fn a_table_is_checked_after_its_connection_closed_between_two_polls() {
    let both = [ready_row("t1", 5), ready_row("t2", 4)];
    let script = vec![
        rows(&both, 20, false),
        table(&both, 30),
        StoreAct::Last(r#"{"rows":[],"ver":50}"#.to_owned()),
        table(&[ready_row("t2", 4)], 60),
        StoreAct::Changes(Vec::new()),
    ];
    let Played { state, .. } = play(script, &[25, 25, 60], Duration::from_millis(20), false);
    assert_eq!(targets(&state), ["t2"], "the poll before had not told that t1 was removed");
}
