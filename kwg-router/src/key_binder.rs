use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::Receiver;
use kwg_flow::TrafficInput;
use kwg_model::{AccountName, DispatchTicket};
use kwg_store::KeyStore;
use kwg_telemetry::HybridClock;

use crate::router_pipes::RouterPipes;

/// Most keys that one write binds.
const BATCH_KEYS: usize = 256;
/// How often expired keys are looked for by one router of the fleet, on average.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);

/// A traffic core's wish to bind a key.
#[derive(Debug)]
pub(crate) struct BindRequest {
    pub(crate) shard: u16,
    pub(crate) request: u64,
    pub(crate) key: String,
    pub(crate) ticket: DispatchTicket,
}

/// Binds idempotency keys for all traffic cores. While one write is under way the next ones
/// gather, so the store sees few writes however many keys there are.
#[derive(Debug)]
pub(crate) struct KeyBinder {
    pub(crate) store: KeyStore,
    pub(crate) pipes: RouterPipes,
}

impl KeyBinder {
    /// Binds until the pipe of requests is closed.
    pub(crate) async fn run(self, requests: Receiver<BindRequest>) {
        while let Ok(first) = requests.recv().await {
            let mut batch = vec![first];
            while batch.len() < BATCH_KEYS
                && let Ok(next) = requests.try_recv()
            {
                batch.push(next);
            }
            self.bind(batch).await;
        }
    }

    async fn bind(&self, requests: Vec<BindRequest>) {
        // Of two requests with one key the first one's ticket is bound.
        let mut batch = BTreeMap::new();
        for request in &requests {
            let row = row_key(&request.ticket.account, &request.key);
            batch.entry(row).or_insert_with(|| request.ticket.clone());
        }
        let life = self.pipes.settings.key_life;
        let life_ms = u64::try_from(life.as_millis()).unwrap_or(u64::MAX);
        let expires_ms = HybridClock::wall_millis().saturating_add(life_ms);
        let bound = self.store.bind(&batch, expires_ms).await;
        for request in requests {
            let row = row_key(&request.ticket.account, &request.key);
            let ticket = bound.as_ref().ok().and_then(|bound| bound.get(&row).cloned());
            let input = TrafficInput::KeyBound { request: request.request, ticket };
            let pipe = &self.pipes.traffic[usize::from(request.shard)];
            drop(pipe.send(input).await);
        }
    }
}

/// Removes expired keys now and then; the fleet shares that by chance.
pub(crate) async fn sweep_keys(store: KeyStore, pipes: RouterPipes) {
    loop {
        let spread = rand::random_range(0.5..1.5);
        pipes.clock.sleep(SWEEP_INTERVAL.mul_f64(spread)).await;
        // A failed sweep leaves rows for the next one.
        drop(store.sweep(HybridClock::wall_millis()).await);
    }
}

/// The row of an account's key. The key's hash keeps rows short and free of callers' data.
fn row_key(account: &AccountName, key: &str) -> String {
    format!("{account}/{}", blake3::hash(key.as_bytes()).to_hex())
}
