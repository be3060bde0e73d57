//! Who is closed when the memory or the descriptors for callers run out, in virtual time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use kwg_gate::{CallerBytes, CallerGuard, CallerKey, CallerLedger, CallerOptions, CallerPhase};
use kwg_model::MonoTime;
use quickcheck::{QuickCheck, TestResult};

const MEMORY: usize = 100_000;
const CONNECTION: usize = 1_000;

fn options() -> CallerOptions {
    CallerOptions {
        memory_bytes: MEMORY,
        connections: 10,
        connection_bytes: CONNECTION,
        stall: Duration::from_secs(2),
        floor_bytes_s: 256,
        floor_window: Duration::from_secs(10),
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A ledger with a connection in each of the phases, each begun at its time.
fn ledger_with(phases: &[(CallerPhase, u64)]) -> (CallerLedger, Vec<CallerKey>) {
    let mut ledger = CallerLedger::new(options());
    let keys = phases
        .iter()
        .map(|(phase, millis)| {
            let key = ledger.accept(at(*millis)).expect("room");
            assert!(ledger.set_phase(key, *phase, at(*millis)));
            key
        })
        .collect();
    (ledger, keys)
}

/// Accepts connections at `now` until one is refused; returns the indices of `keys` in the order in which
/// they are closed.
fn closed_in_order(ledger: &mut CallerLedger, keys: &[CallerKey], now: u64) -> Vec<usize> {
    let mut order = Vec::new();
    let mut fresh = Vec::new();
    for _ in 0..options().connections {
        let Some(key) = ledger.accept(at(now)) else { break };
        assert!(ledger.set_phase(key, CallerPhase::Running, at(now)));
        fresh.push(key);
        let newly = (0..keys.len()).filter(|index| ledger.closing(keys[*index]).is_some());
        let newly: Vec<usize> = newly.filter(|index| !order.contains(index)).collect();
        order.extend(newly);
    }
    order
}

#[test]
fn connections_without_progress_make_room_and_running_requests_never_do() {
    use CallerPhase::{Body, Fresh, Head, Idle, Reply, Running};
    // Ten connections fill the limit; all have stalled but the last two partial ones.
    let phases = [
        (Running, 0),
        (Idle, 100),
        (Fresh, 200),
        (Reply, 300),
        (Head, 400),
        (Body, 500),
        (Idle, 50),
        (Running, 10),
        (Body, 9_000),
        (Head, 9_500),
    ];
    let (mut ledger, keys) = ledger_with(&phases);
    let order = closed_in_order(&mut ledger, &keys, 10_000);
    assert_eq!(order, [3, 4, 5, 2, 6, 1, 8, 9]);
}

#[test]
fn a_newcomer_is_refused_when_only_running_requests_are_open() {
    let phases = [(CallerPhase::Running, 0); 10];
    let (mut ledger, keys) = ledger_with(&phases);
    assert_eq!(ledger.accept(at(60_000)), None);
    assert!(keys.iter().all(|key| ledger.closing(*key).is_none()));
    ledger.remove(keys[4]);
    assert!(ledger.accept(at(60_001)).is_some());
}

#[test]
fn a_reply_that_is_being_read_is_not_closed() {
    let (mut ledger, keys) = ledger_with(&[(CallerPhase::Reply, 0); 10]);
    for key in &keys {
        ledger.record_progress(*key, 2_560, at(59_000));
    }
    assert_eq!(ledger.accept(at(60_000)), None);
    assert!(ledger.accept(at(61_001)).is_some(), "it has stalled for two seconds");
    assert_eq!(ledger.closing(keys[0]), Some("unread-reply"));
}

#[test]
fn a_byte_now_and_then_is_no_progress() {
    let (mut ledger, keys) = ledger_with(&[(CallerPhase::Body, 0), (CallerPhase::Body, 0)]);
    for millis in (0..9_000).step_by(100) {
        ledger.record_progress(keys[0], 1, at(millis));
        ledger.record_progress(keys[1], 200, at(millis));
    }
    assert_eq!(ledger.floor_due(keys[0]), at(10_000), "from the beginning of the body");
    assert_eq!(ledger.floor_due(keys[1]), at(17_700), "from its last window");
}

#[test]
fn a_request_that_is_whole_before_its_connection_is_closed_does_not_run() {
    let (mut ledger, keys) = ledger_with(&[(CallerPhase::Body, 0); 10]);
    ledger.accept(at(5_000)).expect("in place of the first");
    assert_eq!(ledger.closing(keys[0]), Some("partial-body"));
    assert!(!ledger.set_phase(keys[0], CallerPhase::Running, at(5_000)));
    assert!(ledger.set_phase(keys[1], CallerPhase::Running, at(5_000)));
}

/// The load of 2,890 callers that send a body less one byte: within the connections, beyond the memory.
#[test]
fn partial_bodies_of_a_crowd_stay_within_the_memory_and_a_small_request_runs() {
    let mut ledger = CallerLedger::new(CallerOptions { connections: 5_000, ..options() });
    let mut refused = 0;
    for number in 0..200 {
        let now = at(number);
        let Some(key) = ledger.accept(now) else { panic!("no room for caller {number}") };
        ledger.set_phase(key, CallerPhase::Body, now);
        refused += u32::from(!ledger.hold(key, 9_000, now));
        // Tasks close what is marked before the next caller is accepted.
        let marked: Vec<CallerKey> = closing_keys(&ledger);
        marked.into_iter().for_each(|key| ledger.remove(key));
        if refused > 0 {
            ledger.remove(key);
            refused = 0;
        }
        assert!(ledger.held_bytes() <= MEMORY, "{} bytes", ledger.held_bytes());
    }
    let key = ledger.accept(at(300)).expect("room");
    ledger.set_phase(key, CallerPhase::Head, at(300));
    assert!(
        ledger.hold(key, 2_000, at(300)),
        "the small request has room in place of a larger one"
    );
    assert!(ledger.set_phase(key, CallerPhase::Running, at(300)));
}

/// All keys of connections that are to be closed.
fn closing_keys(ledger: &CallerLedger) -> Vec<CallerKey> {
    ledger.closing_keys().collect()
}

#[test]
fn the_largest_asker_is_refused_when_nobody_has_stalled() {
    let (mut ledger, keys) = ledger_with(&[(CallerPhase::Body, 0); 10]);
    for key in &keys[1..] {
        assert!(ledger.hold(*key, 8_000, at(100)));
    }
    assert!(!ledger.hold(keys[0], 40_000, at(100)), "it holds more than each of the others");
    assert!(keys.iter().all(|key| ledger.closing(*key).is_none()));
}

#[test]
fn idle_connections_make_room_last() {
    let (mut ledger, keys) = ledger_with(&[(CallerPhase::Idle, 0); 10]);
    assert!(ledger.hold(keys[9], 80_000, at(5_000)));
    assert!(keys.iter().all(|key| ledger.closing(*key).is_none()));
    ledger.set_phase(keys[9], CallerPhase::Body, at(5_000));
    assert!(ledger.hold(keys[9], 92_000, at(5_000)));
    assert_eq!(closing_keys(&ledger), [keys[0], keys[1]]);
}

#[test]
fn answers_of_targets_count_and_running_requests_stay() {
    let ledger = Rc::new(RefCell::new(CallerLedger::new(options())));
    let running = CallerGuard::accept(&ledger, at(0)).expect("room");
    running.set_phase(CallerPhase::Running, at(0));
    let mut answer = CallerBytes::new(&ledger);
    assert!(answer.hold(99_000, at(0)));
    assert!(!answer.hold(99_001, at(60_000)), "only a running request is open");
    drop(answer);
    drop(running);
    assert_eq!((ledger.borrow().open_count(), ledger.borrow().held_bytes()), (0, 0));
}

/// Whatever happens in whatever order, the sums equal those of the connections, running requests are never
/// closed, and what is held without those that are being closed exceeds the limit only by what could not be
/// granted.
#[test]
fn sums_hold_in_any_order_of_events() {
    fn check(events: Vec<(u8, u8, u16)>) -> TestResult {
        let mut ledger = CallerLedger::new(options());
        let mut open: Vec<(CallerKey, usize, bool)> = Vec::new();
        for (millis, (event, which, size)) in (0_u64..).zip(events) {
            let now = at(millis * 300);
            let index = usize::from(which) % open.len().max(1);
            match event % 5 {
                0 => open.extend(ledger.accept(now).map(|key| (key, 0, false))),
                1 if !open.is_empty() => ledger.remove(open.swap_remove(index).0),
                2 if !open.is_empty() => {
                    open[index].1 = usize::from(size);
                    ledger.hold(open[index].0, usize::from(size), now);
                }
                3 if !open.is_empty() => {
                    open[index].2 = ledger.set_phase(open[index].0, CallerPhase::Running, now);
                }
                4 if !open.is_empty() => {
                    open[index].2 = false;
                    ledger.set_phase(open[index].0, CallerPhase::Body, now);
                }
                _ => {}
            }
            let sum: usize = open.iter().map(|(_, held, _)| held + CONNECTION).sum();
            let is_running_closed =
                open.iter().any(|(key, _, running)| *running && ledger.closing(*key).is_some());
            let live = ledger.open_count() - closing_keys(&ledger).len();
            if sum != ledger.held_bytes() || is_running_closed || live > options().connections {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().tests(500).quickcheck(check as fn(Vec<(u8, u8, u16)>) -> TestResult);
}
