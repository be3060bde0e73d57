use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use crate::{AccountLabel, QuotaRule};

/// Age beyond which a peer's count is extrapolated at its last rate: several digests are missing.
const STALE_AFTER: Duration = Duration::from_millis(1_000);
/// Time after which a silent peer is taken to be serving nobody.
const FORGET_AFTER: Duration = Duration::from_secs(15);

/// Token buckets of the client accounts, filled at each instance with what all have used.
#[derive(Debug, Clone, Default)]
pub struct QuotaBook {
    buckets: HashMap<AccountLabel, AccountBucket>,
}

#[derive(Debug, Clone)]
struct AccountBucket {
    level: f64,
    refilled: MonoTime,
    own_used: u64,
    peers: HashMap<String, PeerUsage>,
}

/// What a peer has used in one of its runs.
#[derive(Debug, Clone, Copy)]
struct PeerUsage {
    run: u64,
    used: u64,
    rate_per_s: f64,
    reported: MonoTime,
    charged: MonoTime,
}

impl QuotaBook {
    /// Takes `units` for a request, or says how long to wait.
    ///
    /// # Errors
    /// The time after which the bucket should hold enough again.
    pub fn take(
        &mut self,
        label: &AccountLabel,
        rule: &QuotaRule,
        units: u64,
        now: MonoTime,
    ) -> Result<(), Duration> {
        let bucket = self.buckets.entry(label.clone()).or_insert_with(|| AccountBucket::full(rule, now));
        bucket.refill(rule, now);
        if bucket.level <= 0.0 {
            let wait = (units as f64 - bucket.level) / rule.rate_per_s.max(1.0);
            return Err(Duration::from_secs_f64(wait.clamp(0.05, 5.0)));
        }
        bucket.level -= units as f64;
        bucket.own_used += units;
        Ok(())
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, label: &AccountLabel, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(label) {
            bucket.level += units as f64;
            bucket.own_used = bucket.own_used.saturating_sub(units);
        }
    }

    /// Takes the count of a peer, which only grows within a run of it.
    pub fn take_usage(&mut self, peer: &str, run: u64, label: &AccountLabel, used: u64, now: MonoTime) {
        let Some(bucket) = self.buckets.get_mut(label) else {
            let usage = PeerUsage { run, used, rate_per_s: 0.0, reported: now, charged: now };
            let mut bucket = AccountBucket::unopened(now);
            bucket.peers.insert(peer.to_owned(), usage);
            self.buckets.insert(label.clone(), bucket);
            return;
        };
        let before = bucket.peers.get(peer).copied().filter(|before| before.run == run);
        let news = used.saturating_sub(before.map_or(0, |before| before.used));
        let span = before.map_or(1.0, |before| now.since(before.reported).as_secs_f64());
        let rate_per_s = news as f64 / span.max(0.1);
        bucket.level -= news as f64;
        let usage = PeerUsage { run, used, rate_per_s, reported: now, charged: now };
        bucket.peers.insert(peer.to_owned(), usage);
    }

    /// What this instance has used, for its peers.
    pub fn used(&self) -> impl Iterator<Item = (&AccountLabel, u64)> {
        self.buckets.iter().map(|(label, bucket)| (label, bucket.own_used))
    }
}

impl AccountBucket {
    fn full(rule: &QuotaRule, now: MonoTime) -> Self {
        Self { level: rule.burst, refilled: now, own_used: 0, peers: HashMap::new() }
    }

    /// A bucket that only peers have taken from; it is filled at its first use here.
    fn unopened(now: MonoTime) -> Self {
        Self { level: f64::INFINITY, refilled: now, own_used: 0, peers: HashMap::new() }
    }

    fn refill(&mut self, rule: &QuotaRule, now: MonoTime) {
        let span = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        // A peer that is out of touch goes on serving: what it takes is estimated.
        for usage in self.peers.values_mut() {
            let age = now.since(usage.reported);
            if age > STALE_AFTER && age < FORGET_AFTER {
                self.level -= usage.rate_per_s * now.since(usage.charged).as_secs_f64();
                usage.charged = now;
            }
        }
        self.level = (self.level + rule.rate_per_s * span).min(rule.burst);
    }
}
