use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::Receiver;
use kwg_flow::TrafficInput;
use kwg_model::{AccountName, DispatchTicket};
use kwg_store::KeyStore;
use kwg_telemetry::HybridClock;

use crate::router_pipes::RouterPipes;

/// Maximum number of keys bound by one write.
const BATCH_KEYS: usize = 256;
/// Average interval between two sweeps for expired keys by one router.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);

/// A traffic core's request to bind an idempotency key to a ticket.
#[derive(Debug)]
pub(crate) struct BindRequest {
    pub(crate) shard: u16,
    pub(crate) request: u64,
    pub(crate) key: String,
    pub(crate) ticket: DispatchTicket,
}

/// Binds idempotency keys for all traffic cores.
///
/// Requests that arrive during a write are batched into the next one, which keeps
/// the number of writes low however many keys arrive.
#[derive(Debug)]
pub(crate) struct KeyBinder {
    pub(crate) store: KeyStore,
    pub(crate) pipes: RouterPipes,
}

impl KeyBinder {
    /// Serves requests until their channel is closed.
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
        // If several requests carry the same key, the ticket of the first one is bound.
        let mut batch = BTreeMap::new();
        for request in &requests {
            let row = row_key(&request.ticket.account, &request.key);
            batch.entry(row).or_insert_with(|| request.ticket.clone());
        }
        let lifetime = self.pipes.settings.key_retention;
        let lifetime_ms = u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX);
        let expires_ms = HybridClock::wall_millis().saturating_add(lifetime_ms);
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

/// Removes expired keys at randomized intervals, so that the routers' sweeps spread over time.
pub(crate) async fn sweep_keys(store: KeyStore, pipes: RouterPipes) {
    loop {
        let jitter = rand::random_range(0.5..1.5);
        pipes.clock.sleep(SWEEP_INTERVAL.mul_f64(jitter)).await;
        // Rows left by a failed sweep are removed by a later one.
        drop(store.sweep(HybridClock::wall_millis()).await);
    }
}

/// Returns the row key of an account's idempotency key.
///
/// The idempotency key is hashed, which keeps row keys short and callers' data out of the store.
fn row_key(account: &AccountName, key: &str) -> String {
    format!("{account}/{}", blake3::hash(key.as_bytes()).to_hex())
}
