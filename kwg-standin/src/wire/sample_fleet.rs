use std::io;

use serde_json::{Value, json};

use super::{RunnerStandin, StoreStandin};

/// A store with a configuration, and runners registered in it.
#[derive(Debug, Clone)]
pub struct SampleFleet {
    /// The store.
    pub store: StoreStandin,
    /// The runners of the only service, `llm`.
    pub runners: Vec<RunnerStandin>,
}

impl SampleFleet {
    /// Starts a store and `runners` runners.
    ///
    /// # Errors
    /// The I/O error if no port can be bound.
    pub fn start(runners: usize) -> io::Result<Self> {
        let store = StoreStandin::start()?;
        store.put("op", "config", Some(Self::config(1).to_string().as_bytes()));
        let runners: Vec<RunnerStandin> =
            (0..runners).map(|_| RunnerStandin::start()).collect::<Result<_, _>>()?;
        for (number, runner) in runners.iter().enumerate() {
            let entry = Self::entry(runner, "ready").to_string();
            store.put("servers", &format!("i-{number}"), Some(entry.as_bytes()));
        }
        Ok(Self { store, runners })
    }

    /// A configuration with one route of each kind: streams with and without resume, idempotent
    /// and non-idempotent requests.
    #[must_use]
    pub fn config(version: u64) -> Value {
        let route = |name: &str, prefix: &str, kind: &str, resume: bool| {
            json!({ "name": name, "host": "graz.example", "prefix": prefix, "kind": kind,
                "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 0, "service": "llm",
                "maxAttempts": 2, "authExempt": false, "streamResume": resume, "gapAimMs": 300 })
        };
        json!({ "version": version,
            "routes": [route("draft", "/stream/draft/", "streaming", true),
                route("digest", "/stream/digest/", "streaming", false),
                route("scan", "/scan/", "idempotent", false),
                route("open", "/open/", "non_idempotent", false)],
            "services": [{ "name": "llm", "healthPath": "/health", "maxConns": 100 }],
            "limits": { "maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 600,
                "idleTimeoutMs": 15000 },
            "tenants": [{ "name": "hule", "apiKeys": ["key-1", "key-2"] }] })
    }

    /// The registry entry of a runner in this state.
    #[must_use]
    pub fn entry(runner: &RunnerStandin, state: &str) -> Value {
        json!({ "service": "llm", "address": runner.address().to_string(), "zone": "graz",
            "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0, "seqNo": 1, "born": 1 })
    }
}
