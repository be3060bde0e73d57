//! Rows that evacuate failure domains: what the traffic thread is told, once for each change.

use async_channel::{Receiver, unbounded};
use kwg_clock::{ClockHandle, ManualClock};
use kwg_gate::{EvacuatedDomains, StoreRow, TableCopy};
use kwg_settings::GatewaySettings;
use kwg_wire::SharedTable;

use super::{ControlState, TrafficInput};
use crate::control::control_state::ControlPipes;
use crate::gateway_metrics::GatewayMetrics;

fn state() -> (ControlState, Receiver<TrafficInput>) {
    let text = "[gateway]\nname = a-1\ndomain = a\nfront = 127.0.0.1:1\nready = 127.0.0.1:2\n\
         metrics = 127.0.0.1:3\npeer = 127.0.0.1:4\nstore = 127.0.0.1:5\ngrace_s = 9\n[domains]\na = r\n";
    let settings = GatewaySettings::parse("g.ini", text).expect("valid");
    let ((traffic, inputs), (changes, _)) = (unbounded(), unbounded());
    let pipes = ControlPipes { traffic, changes, move_tasks: unbounded().0 };
    let clock = ClockHandle::manual(&ManualClock::new());
    (ControlState::new(settings, 1, clock, GatewayMetrics::new(), pipes), inputs)
}

fn row(key: &str, value: Option<&[u8]>, revision: u64) -> StoreRow {
    StoreRow { key: key.to_owned(), value: value.map(<[u8]>::to_vec), revision }
}

/// The last set of domains that the traffic thread was told; none if it was told none.
fn told(inputs: &Receiver<TrafficInput>) -> Option<EvacuatedDomains> {
    let mut last = None;
    while let Ok(input) = inputs.try_recv() {
        let TrafficInput::Evacuated(domains) = input else { panic!("{input:?}") };
        last = Some(domains);
    }
    last
}

#[test]
fn rows_of_the_feed_evacuate_domains_and_their_removals_end_that() {
    let (state, inputs) = state();
    let orders = SharedTable::Orders;
    state.apply_feed(orders, vec![row("evacuate/graz", Some(b"{}"), 3)], 0, 3);
    assert_eq!(told(&inputs), Some(["graz"].into_iter().collect()));
    // The same row once more, an odd value, and names that name no domain.
    state.apply_feed(orders, vec![row("evacuate/graz", Some(b"{}"), 4)], 3, 4);
    state.apply_feed(orders, vec![row("evacuate/graz", Some(b"\xff"), 5)], 4, 5);
    state.apply_feed(orders, vec![row("evacuate/", Some(b"{}"), 6)], 5, 6);
    state.apply_feed(orders, vec![row("evacuate/a\r\n", Some(b"{}"), 7)], 6, 7);
    assert_eq!(told(&inputs), None, "nothing has changed");
    state.apply_feed(orders, vec![row("evacuate/wien", Some(b"{}"), 8)], 7, 8);
    assert_eq!(told(&inputs), Some(["graz", "wien"].into_iter().collect()));
    state.apply_feed(orders, vec![row("evacuate/graz", None, 9)], 8, 9);
    assert_eq!(told(&inputs), Some(["wien"].into_iter().collect()));
    // An older state that arrives late.
    state.apply_feed(orders, vec![row("evacuate/graz", Some(b"{}"), 5)], 4, 5);
    assert_eq!(told(&inputs), None);
}

#[test]
fn a_copy_of_a_peer_tells_what_it_has_and_what_it_lacks() {
    let (state, inputs) = state();
    let orders = SharedTable::Orders;
    state.apply_feed(orders, vec![row("evacuate/graz", Some(b"{}"), 3)], 0, 3);
    assert!(told(&inputs).is_some());
    let copy = TableCopy { revision: 9, rows: vec![row("evacuate/wien", Some(b"{}"), 7)] };
    assert!(state.apply_copy(orders, copy, "peer"));
    assert_eq!(told(&inputs), Some(["wien"].into_iter().collect()));
    let older = TableCopy { revision: 4, rows: vec![row("evacuate/graz", Some(b"{}"), 3)] };
    assert!(!state.apply_copy(orders, older, "peer"));
    assert_eq!(told(&inputs), None);
}
