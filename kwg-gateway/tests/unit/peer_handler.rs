//! How an instance finds the others in the store, with a store that follows a script.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use async_channel::{bounded, unbounded};
use async_io::{Timer, block_on};
use futures_lite::FutureExt;
use kwg_clock::{ClockHandle, ManualClock};
use kwg_settings::GatewaySettings;

use super::refresh_instances;
use crate::control::control_state::{ControlPipes, ControlState};
use crate::control::instance_directory::InstanceDirectory;
use crate::gateway_metrics::GatewayMetrics;

/// Real time after which the rows count as not read.
const PATIENCE: Duration = Duration::from_secs(5);

/// A store that answers one reading after the other with the rows of these instances, the last ones for good.
fn store(readings: Vec<Vec<&'static str>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let mut readings = readings.into_iter();
        let mut names = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepted");
            let mut request = [0; 4_096];
            while let Ok(1..) = stream.read(&mut request) {
                names = readings.next().unwrap_or(names);
                let row = |name: &&str| {
                    // "127.0.0.1:9 a", in base64.
                    format!(r#"{{"key":"instance/{name}","value":"MTI3LjAuMC4xOjkgYQ==","ver":4}}"#)
                };
                let rows: Vec<String> = names.iter().map(row).collect();
                let body = format!(r#"{{"rows":[{}],"ver":9}}"#, rows.join(","));
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                stream.write_all((head + &body).as_bytes()).expect("sent");
            }
        }
    });
    address
}

#[test]
fn an_instance_whose_reading_lacks_its_own_row_reads_again() {
    let store = store(vec![vec!["b-1"], vec!["b-1"], vec!["a-1", "b-1", "b-2"]]);
    let text = format!(
        "[gateway]\nname = a-1\ndomain = a\nfront = 127.0.0.1:1\nready = 127.0.0.1:2\n\
         metrics = 127.0.0.1:3\npeer = 127.0.0.1:4\nstore = {store}\ngrace_s = 9\n[domains]\na = r\n"
    );
    let settings = GatewaySettings::parse("g.ini", &text).expect("valid");
    let ((traffic, _inputs), (changes, _changed), (move_tasks, _tasks)) =
        (unbounded(), unbounded(), unbounded());
    let pipes = ControlPipes { traffic, changes, move_tasks };
    let clock = ManualClock::new();
    let handle = ClockHandle::manual(&clock);
    let state = Rc::new(ControlState::new(settings, 1, handle, GatewayMetrics::new(), pipes));
    let (found, listings) = bounded(1);
    let directory = InstanceDirectory::new(&state);
    let refreshing = async {
        refresh_instances(Rc::clone(&state), directory, found).await;
        false
    };
    let finding = async {
        while let Ok(peers) = listings.recv().await {
            if peers.iter().any(|peer| peer.name == "b-2") {
                return true;
            }
        }
        false
    };
    let passing = async {
        loop {
            Timer::after(Duration::from_millis(10)).await;
            clock.advance(Duration::from_millis(300));
        }
    };
    let patience = async {
        Timer::after(PATIENCE).await;
        false
    };
    assert!(block_on(refreshing.or(finding).or(passing).or(patience)), "b-2 is not found");
}
