//! Entries among those of the targets that another writer has left: they name no target, and the others are
//! used as before.

mod support;

use kwg_standin::SampleFleet;
use support::{TestFleet, request, wait_until};

#[test]
fn odd_entries_neither_end_the_process_nor_hide_the_others() {
    let fleet = TestFleet::start("odd", 1);
    let good = SampleFleet::entry(&fleet.runners[0], "ready").to_string();
    let address = fleet.runners[0].address().to_string();
    let nested = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    let odd = [
        good.replace("\"slots\":8", &format!("\"slots\":{nested}")),
        good.replace("\"seqNo\":1", &format!("\"seqNo\":{nested}")),
        nested,
        good.replace("\"slots\":8", "\"slots\":4294967295"),
        good.replace("\"slots\":8", "\"slots\":99999999999999999999"),
        good.replace("\"slots\":8", "\"slots\":1e400"),
        good.replace("\"born\":1", "\"born\":-1"),
        good.replace(&address, "127.0.0.1:99999"),
        good.replace(&address, "127.0.0.1:0"),
        good.replace(&address, "[::1"),
        "{\"service\":".to_owned(),
        String::from_utf8_lossy(&[0xff, 0xfe]).into_owned(),
    ];
    for (number, value) in odd.iter().enumerate() {
        fleet.store.put("servers", &format!("i-odd-{number}"), Some(value.as_bytes()));
    }
    fleet.store.put("servers", "i-bytes", Some(&[0xff, 0x00, 0x7b]));
    // Copies of the target's own entry under keys that are no names.
    for key in ["i-0\r\n", "i-0\n", " i-0", "i-0\r\n\r\nGET /open/x HTTP/1.1\r\nHost: x"] {
        fleet.store.put("servers", key, Some(good.as_bytes()));
    }
    let next = kwg_standin::RunnerStandin::start().expect("a port is free");
    let entry = SampleFleet::entry(&next, "ready").to_string();
    fleet.store.put("servers", "i-next", Some(entry.as_bytes()));
    fleet.store.put("servers", "i-0", Some(good.replace("ready", "draining").as_bytes()));
    let mut number = 0;
    wait_until("requests go to the target whose entry came after the odd ones", || {
        number += 1;
        let answer = fleet.call(&request("GET", "/scan/a", &format!("r{number}")));
        assert_eq!(answer.status, 200);
        !next.received().is_empty()
    });
    for _ in 0..20 {
        number += 1;
        assert_eq!(fleet.call(&request("POST", "/open/a", &format!("r{number}"))).status, 200);
    }
}
