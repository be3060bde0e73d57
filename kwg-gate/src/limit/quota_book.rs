use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use crate::{AccountLabel, QuotaRule};

/// The shortest time between two reports, in seconds, over which a rate is taken.
const SHORTEST_SPAN: f64 = 0.1;
/// Weight of the latest report in a peer's rate: single reports of a throttled account vary.
const RATE_WEIGHT: f64 = 0.25;
/// Age beyond which a peer is not estimated any more. By then the view of the fleet lacks it.
const STALE_AFTER: Duration = Duration::from_millis(1_800);
/// Part of the tolerance that is given to callers; the rest covers what instances admit before
/// they know of each other.
const GIVEN_PART: f64 = 0.3;
/// Part of a bucket that a new instance finds: what was used before its start is not known.
const FIRST_FILL: f64 = 0.5;

/// How much of the fleet an instance hears of. The part of a quota that belongs to the others is
/// left to them: they may be serving somebody.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetView {
    /// Instances that are believed to exist, this one included.
    pub size: u32,
    /// Those that it hears of, this one included.
    pub heard: u32,
}

impl FleetView {
    fn share(self) -> f64 {
        (f64::from(self.heard.max(1)) / f64::from(self.size.max(1))).min(1.0)
    }
}

/// How far the sum over all instances may exceed a quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaOptions {
    /// As a part of the quota.
    pub overshoot: f64,
    /// In units.
    pub slack: f64,
}

impl QuotaOptions {
    /// The quota that an instance keeps to.
    fn widen(self, rule: &QuotaRule) -> QuotaRule {
        let factor = 1.0 + GIVEN_PART * self.overshoot;
        QuotaRule {
            rate_per_s: rule.rate_per_s * factor,
            burst: rule.burst * factor + GIVEN_PART * self.slack,
            ..*rule
        }
    }
}

/// Token buckets of the client accounts, filled at each instance with what all have used.
#[derive(Debug, Clone, Default)]
pub struct QuotaBook {
    options: QuotaOptions,
    buckets: HashMap<AccountLabel, AccountBucket>,
}

#[derive(Debug, Clone)]
struct AccountBucket {
    /// What it holds; it is filled at its first use here.
    level: Option<f64>,
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
    /// Units charged since its last report, by its rate.
    estimated: f64,
    reported: MonoTime,
    charged: MonoTime,
}

impl PeerUsage {
    fn new(run: u64, used: u64, now: MonoTime) -> Self {
        Self { run, used, rate_per_s: 0.0, estimated: 0.0, reported: now, charged: now }
    }
}

impl QuotaBook {
    /// A book that nobody has used.
    #[must_use]
    pub fn new(options: QuotaOptions) -> Self {
        Self { options, buckets: HashMap::new() }
    }

    /// Changes how far quotas may be exceeded.
    pub fn set_options(&mut self, options: QuotaOptions) {
        self.options = options;
    }

    /// Takes `units` for a request, or says how long to wait.
    ///
    /// # Errors
    /// The time after which the bucket should hold enough again.
    pub fn take(
        &mut self,
        label: &AccountLabel,
        rule: &QuotaRule,
        units: u64,
        fleet: FleetView,
        now: MonoTime,
    ) -> Result<(), Duration> {
        let rule = &self.options.widen(rule);
        let bucket = self.buckets.entry(label.clone()).or_insert_with(|| AccountBucket::new(now));
        bucket.refill(rule, fleet, now);
        let level = bucket.level.unwrap_or(0.0);
        if level <= 0.0 {
            let wait = (units as f64 - level) / rule.rate_per_s.max(1.0);
            return Err(Duration::from_secs_f64(wait.clamp(0.05, 5.0)));
        }
        bucket.level = Some(level - units as f64);
        bucket.own_used += units;
        Ok(())
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, label: &AccountLabel, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(label) {
            bucket.level = bucket.level.map(|level| level + units as f64);
            bucket.own_used = bucket.own_used.saturating_sub(units);
        }
    }

    /// Takes the count of a peer, which only grows within a run of it.
    pub fn take_usage(
        &mut self,
        peer: &str,
        run: u64,
        label: &AccountLabel,
        used: u64,
        now: MonoTime,
    ) {
        let Some(bucket) = self.buckets.get_mut(label) else {
            let usage = PeerUsage::new(run, used, now);
            let mut bucket = AccountBucket::new(now);
            bucket.peers.insert(peer.to_owned(), usage);
            self.buckets.insert(label.clone(), bucket);
            return;
        };
        let known = bucket.peers.get(peer).copied();
        let before = known.filter(|known| known.run == run);
        let is_stale = known.is_some_and(|known| now.since(known.reported) > STALE_AFTER);
        // What a peer used before it was heard, or while it was out of touch, came out of the part
        // that was left to it. A new run of a known peer counts from 0.
        let news = match (known, before) {
            (None, _) => 0,
            _ if is_stale => 0,
            (Some(_), before) => used.saturating_sub(before.map_or(0, |before| before.used)),
        };
        let span = before.map_or(1.0, |before| now.since(before.reported).as_secs_f64());
        let rate_per_s = news as f64 / span.max(SHORTEST_SPAN);
        let smooth = before.map_or(rate_per_s, |before| before.rate_per_s);
        let estimated = known.map_or(0.0, |known| known.estimated);
        bucket.level = bucket.level.map(|level| level - news as f64 + estimated);
        let rate_per_s = smooth + (rate_per_s - smooth) * RATE_WEIGHT;
        let usage = PeerUsage { rate_per_s, ..PeerUsage::new(run, used, now) };
        bucket.peers.insert(peer.to_owned(), usage);
    }

    /// What this instance has used, for its peers.
    pub fn used(&self) -> impl Iterator<Item = (&AccountLabel, u64)> {
        self.buckets.iter().map(|(label, bucket)| (label, bucket.own_used))
    }
}

impl AccountBucket {
    fn new(now: MonoTime) -> Self {
        Self { level: None, refilled: now, own_used: 0, peers: HashMap::new() }
    }

    fn refill(&mut self, rule: &QuotaRule, fleet: FleetView, now: MonoTime) {
        let span = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        let first_fill = rule.burst * FIRST_FILL / f64::from(fleet.size.max(1));
        let mut level = self.level.unwrap_or(first_fill);
        // What peers take between two reports is estimated.
        for usage in self.peers.values_mut() {
            if now.since(usage.reported) <= STALE_AFTER {
                let estimate = usage.rate_per_s * now.since(usage.charged).as_secs_f64();
                level -= estimate;
                usage.estimated += estimate;
            }
            usage.charged = now;
        }
        self.level = Some((level + rule.rate_per_s * fleet.share() * span).min(rule.burst));
    }
}
