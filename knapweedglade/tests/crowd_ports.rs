//! Crowds at the readiness port and the metrics port, and at all ports at once: both ports must stay
//! within the descriptors of the process and must answer, also while the front is full.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::call_at;
use support::crowd::{
    CROWD, Crowd, CrowdSite, DESCRIPTOR_LIMITS, MEMORY_LIMITS, REPEAT_LIMIT, body_less_one,
    chunks_less_one, head, short_fields,
};

const PARTIAL: &[u8] = b"GET /knapweedglade/ready HTTP/1.1\r\nHo";

/// Asserts that both ports answer. A check or scrape that is cut is repeated, as its sender does.
fn assert_ports(site: &CrowdSite, when: &str) {
    let gateway = &site.fleet.gateway;
    let scrape = || call_at(gateway.metrics, b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").status;
    assert_eq!(repeat(|| gateway.ready_status()), 200, "{when}: readiness, 0: no answer");
    assert_eq!(repeat(scrape), 200, "{when}: metrics, 0: no answer");
    site.assert_bounded(when);
}

fn repeat(call: impl Fn() -> u16) -> u16 {
    let end = Instant::now() + REPEAT_LIMIT;
    loop {
        let status = call();
        if status == 200 || Instant::now() > end {
            return status;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn the_readiness_port_is_bounded_and_answers() {
    let site = CrowdSite::start("crowd-ready", DESCRIPTOR_LIMITS, 65_536);
    for bytes in [Vec::new(), PARTIAL.to_vec(), short_fields(3_000)] {
        let crowd = Crowd::send(site.fleet.gateway.ready, CROWD, |_| bytes.clone());
        assert_ports(&site, "a crowd at the readiness port");
        drop(crowd);
    }
    site.assert_sound("after the crowds");
}

#[test]
fn requests_sent_ahead_to_the_readiness_port_are_bounded() {
    let site = CrowdSite::start("crowd-ready-ahead", MEMORY_LIMITS, 65_536);
    let check = b"GET /knapweedglade/ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(1_000);
    let crowd = Crowd::send(site.fleet.gateway.ready, 200, |_| check.clone());
    assert_ports(&site, "checks sent ahead");
    drop(crowd);
    site.assert_sound("after the crowd");
}

#[test]
fn the_metrics_port_is_bounded_and_answers() {
    let site = CrowdSite::start("crowd-metrics", DESCRIPTOR_LIMITS, 65_536);
    let crowd = Crowd::send(site.fleet.gateway.metrics, 100, |_| PARTIAL.to_vec());
    assert_ports(&site, "a crowd at the metrics port");
    drop(crowd);
    site.assert_sound("after the crowd");
}

#[test]
fn both_ports_answer_while_the_front_is_full() {
    let site = CrowdSite::start("crowd-front", DESCRIPTOR_LIMITS, 65_536);
    let crowd = Crowd::send(site.fleet.gateway.front, CROWD, |_| PARTIAL.to_vec());
    assert_ports(&site, "a crowd at the front");
    drop(crowd);
    site.assert_sound("after the crowd");
}

#[test]
fn several_crowds_at_once_are_bounded() {
    let site = CrowdSite::start("crowd-several", MEMORY_LIMITS, 72_000);
    let ready = Crowd::send(site.fleet.gateway.ready, 100, |_| short_fields(3_000));
    let metrics = Crowd::send(site.fleet.gateway.metrics, 30, |_| PARTIAL.to_vec());
    site.play("several crowds", |number| match number % 7 {
        0 => short_fields(12_000),
        1 => PARTIAL.to_vec(),
        2 => body_less_one("/scan/a", number, 70_000),
        3 => chunks_less_one("/scan/a", number, 8_000, 1),
        4 => head("/scan/a", number, "Content-Length: 0\r\n").repeat(100).into_bytes(),
        5 => body_less_one("/nowhere/a", number, 60_000),
        _ => body_less_one("/scan/a", number, 33_000),
    });
    assert_ports(&site, "several crowds");
    drop((ready, metrics));
}
