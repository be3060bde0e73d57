//! A small deployment: a store, runners of a plain service, and gateways in three zones.

use std::time::Duration;

use serde_json::{Value, json};

use crate::gateway::{Gateway, Place};
use crate::runner::Runner;
use crate::store::Store;
use crate::{Scene, own_ip};

pub const ZONES: [&str; 3] = ["ost-graz", "ost-wien", "west-ibk"];

pub struct Fleet {
    pub store: Store,
    pub runners: Vec<Runner>,
    pub places: Vec<Place>,
    pub gateways: Vec<Gateway>,
}

/// A configuration with a route of requests that must not be repeated.
pub fn config(version: u64, service: &str, keys: &[&str]) -> Value {
    json!({ "version": version,
        "routes": [{ "name": "open", "host": "bot.example", "prefix": "/open/",
            "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0,
            "service": service, "maxAttempts": 1 },
            { "name": "scan", "host": "bot.example", "prefix": "/scan/",
            "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 0,
            "service": service, "maxAttempts": 2 },
            { "name": "draft", "host": "bot.example", "prefix": "/draft/",
            "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 800, "priority": 0,
            "service": service, "maxAttempts": 2, "streamResume": true, "gapAimMs": 300 }],
        "services": [{ "name": "botapp", "healthPath": "/health", "maxConns": 110 },
            { "name": "newapp", "healthPath": "/health", "maxConns": 110 }],
        "limits": { "maxHeaderBytes": 8192, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "hule930", "apiKeys": keys }] })
}

pub fn request(path: &str, id: &str, key: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: bot.example\r\nX-Knapweedglade-Request-Id: {id}\r\n\
         X-Knapweedglade-Deadline-Ms: 3000\r\nAuthorization: Token {key}\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
    .into_bytes()
}

impl Fleet {
    /// Starts `runners` runners of `botapp` and as many of `newapp`, by turns in these zones, and gateways; `None` if these
    /// don't become ready.
    pub fn start(
        scene: &Scene,
        gateways: u8,
        runners: u8,
        work: Duration,
        zones: &[&str],
    ) -> Option<Self> {
        let store = Store::start(own_ip(1));
        store.put("op", "config", Some(&config(1, "botapp", &["key-kept", "key-dropped"])));
        let start = |number: u8| {
            let service = if number < runners { "botapp" } else { "newapp" };
            let id = format!("i-{service}-{number}");
            Runner::start(own_ip(20 + number), &id, service, work, &scene.record)
        };
        let runners: Vec<Runner> = (0..2 * runners).map(start).collect();
        for (number, runner) in runners.iter().enumerate() {
            store.put("servers", &runner.id, Some(&runner.entry(zones[number % zones.len()])));
        }
        let places: Vec<Place> = (0..gateways)
            .map(|number| {
                let zone = ZONES[usize::from(number) % 3];
                let name = format!("front-{zone}-{}", number / 3 + 1);
                let ip = own_ip(100 + number);
                Place { name, zone, ip, store: store.address }
            })
            .collect();
        let gateways: Vec<Gateway> =
            places.iter().map(|place| Gateway::start(&scene.folder, place)).collect();
        let are_ready = gateways.iter().all(Gateway::wait_ready);
        are_ready.then_some(Self { store, runners, places, gateways })
    }
}
