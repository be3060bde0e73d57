//! Crowds that send bodies and never end them: the gateway must stay within its memory and descriptors
//! and must answer an ordinary request.

mod support;

use std::thread;
use std::time::Duration;

use support::crowd::{
    CROWD, Crowd, CrowdSite, DESCRIPTOR_LIMITS, MEMORY_LIMITS, body_less_one, chunks_less_one, head,
};

/// Longest body of the sites with short ones, in bytes.
const SHORT_LIMIT: usize = 72_000;
/// Longest body elsewhere, in bytes.
const LONG_LIMIT: usize = 4 << 20;

#[test]
fn short_bodies_less_one_byte_are_bounded() {
    let site = CrowdSite::start("crowd-short", MEMORY_LIMITS, SHORT_LIMIT);
    site.play("bodies of 11,000 bytes", |number| body_less_one("/scan/a", number, 11_000));
}

#[test]
fn bodies_less_one_byte_are_bounded() {
    let site = CrowdSite::start("crowd-length", MEMORY_LIMITS, SHORT_LIMIT);
    site.play("bodies of 33,000 bytes", |number| body_less_one("/scan/a", number, 33_000));
    site.play("bodies of 70,000 bytes", |number| body_less_one("/scan/a", number, 70_000));
}

#[test]
fn bodies_in_chunks_less_the_last_are_bounded() {
    let site = CrowdSite::start("crowd-chunks", MEMORY_LIMITS, SHORT_LIMIT);
    site.play("chunks of one byte", |number| chunks_less_one("/scan/a", number, 8_000, 1));
    site.play("chunks", |number| chunks_less_one("/scan/a", number, 32_000, 1_000));
}

#[test]
fn a_few_very_long_bodies_less_one_byte_are_bounded() {
    let site = CrowdSite::start("crowd-long", MEMORY_LIMITS, LONG_LIMIT);
    let front = site.fleet.gateway.front;
    let crowd = Crowd::send(front, 30, |number| body_less_one("/scan/a", number, 900_000));
    site.assert_sound("long bodies, beside the crowd");
    drop(crowd);
    let crowd = Crowd::send(front, 30, |number| body_less_one("/scan/a", number, 5 << 20));
    site.assert_sound("bodies over the limit, beside the crowd");
    drop(crowd);
    let crowd =
        Crowd::send(front, 12, |number| chunks_less_one("/scan/a", number, 5_000_000, 10_000));
    site.assert_sound("chunks over the limit, beside the crowd");
    drop(crowd);
    site.assert_sound("after the crowds");
}

#[test]
fn stalled_and_trickling_bodies_do_not_keep_others_out() {
    let site = CrowdSite::start("crowd-stalled", DESCRIPTOR_LIMITS, SHORT_LIMIT);
    let begin = |number| head("/scan/a", number, "Content-Length: 9000\r\n").into_bytes();
    site.play("stalled bodies", begin);
    let mut crowd = Crowd::send(site.fleet.gateway.front, CROWD, begin);
    for round in 0..4 {
        crowd.send_each(b"b");
        site.assert_sound(&format!("trickling bodies, round {round}"));
        thread::sleep(Duration::from_millis(300));
    }
    drop(crowd);
    site.assert_sound("trickling bodies, after the crowd");
}

#[test]
fn bodies_that_will_be_refused_are_not_held() {
    let site = CrowdSite::start("crowd-refused", MEMORY_LIMITS, SHORT_LIMIT);
    site.play("no route", |number| body_less_one("/nowhere/a", number, 60_000));
    site.play("readiness path", |number| body_less_one("/knapweedglade/ready", number, 60_000));
    site.play("unknown key", |number| {
        let bytes = body_less_one("/scan/a", number, 60_000);
        String::from_utf8(bytes).expect("text").replace("key-1", "key-9").into_bytes()
    });
}
