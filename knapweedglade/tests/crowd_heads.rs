//! Crowds that send heads of requests and never end them: the gateway must stay within its memory and
//! descriptors and must answer an ordinary request.

mod support;

use std::thread;
use std::time::Duration;

use support::crowd::{
    CROWD, Crowd, CrowdSite, DESCRIPTOR_LIMITS, MEMORY_LIMITS, head, short_fields,
};

/// Length of heads in many short fields, in bytes: within the limit of 16,384.
const HEAD_BYTES: usize = 12_000;

/// The first part of a head that goes on byte by byte.
const TRICKLE: &[u8] = b"GET /scan/a HTTP/1.1\r\nX-Long: ";

#[test]
fn heads_of_many_short_fields_are_bounded() {
    let site = CrowdSite::start("crowd-fields", MEMORY_LIMITS, 65_536);
    site.play("short fields", |_| short_fields(HEAD_BYTES));
}

#[test]
fn whole_heads_of_many_short_fields_are_bounded() {
    let site = CrowdSite::start("crowd-whole-fields", MEMORY_LIMITS, 65_536);
    site.play("whole heads", |_| [short_fields(HEAD_BYTES), b"\r\n".to_vec()].concat());
}

#[test]
fn long_fields_without_an_end_are_bounded() {
    let site = CrowdSite::start("crowd-field", MEMORY_LIMITS, 65_536);
    site.play("a long field", |number| {
        let field = format!("X-Long: {}", "a".repeat(HEAD_BYTES));
        let mut bytes = head("/scan/a", number, &field).into_bytes();
        bytes.truncate(HEAD_BYTES);
        bytes
    });
}

#[test]
fn partial_heads_and_silent_connections_do_not_keep_others_out() {
    let site = CrowdSite::start("crowd-partial", DESCRIPTOR_LIMITS, 65_536);
    site.play("silent connections", |_| Vec::new());
    site.play("partial heads", |_| b"GET /scan/a HTTP/1.1\r\nHost: gr".to_vec());
    site.play("one request and then silence", |number| {
        head("/scan/a", number, "Content-Length: 0\r\n").into_bytes()
    });
}

#[test]
fn trickling_heads_do_not_keep_others_out() {
    let site = CrowdSite::start("crowd-trickle", DESCRIPTOR_LIMITS, 65_536);
    let mut crowd = Crowd::send(site.fleet.gateway.front, CROWD, |_| TRICKLE.to_vec());
    for round in 0..4 {
        crowd.send_each(b"a");
        site.assert_sound(&format!("trickling heads, round {round}"));
        thread::sleep(Duration::from_millis(300));
    }
    drop(crowd);
    site.assert_sound("trickling heads, after the crowd");
}
