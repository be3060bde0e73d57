use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use crate::{AccountLabel, AccountUsage, QuotaRule};

/// Minimum time between two reports, in seconds, for computing a rate.
const MIN_SPAN_S: f64 = 0.1;
/// Weight of the latest report in a peer's smoothed rate: single reports of a throttled account
/// vary.
const RATE_WEIGHT: f64 = 0.25;
/// Age of a report beyond which a peer's usage is no longer extrapolated. By then the peer no
/// longer counts as reachable in the [`FleetView`].
const STALE_AFTER: Duration = Duration::from_millis(1_800);
/// Share of the overshoot tolerance that is granted to callers. The rest covers what instances
/// admit before they have received each other's reports.
const ADMITTED_SHARE: f64 = 0.3;
/// Initial fill of a bucket at a new instance, as a share of its burst divided by the fleet size.
/// It is not full because the usage before the instance's start is unknown.
const INITIAL_FILL: f64 = 0.5;

/// How many instances of the fleet are reachable. The quota shares of unreachable instances stay
/// reserved, because those instances may still be serving callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetView {
    /// Instances that are assumed to be live, this one included.
    pub size: u32,
    /// Instances whose reports arrive, this one included.
    pub reachable: u32,
}

impl FleetView {
    fn share(self) -> f64 {
        (f64::from(self.reachable.max(1)) / f64::from(self.size.max(1))).min(1.0)
    }
}

/// How far the usage of all instances together may exceed a quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaOptions {
    /// Relative tolerance, as a share of the quota.
    pub overshoot: f64,
    /// Absolute tolerance, in units of the quota.
    pub slack: f64,
}

impl QuotaOptions {
    /// The quota that each instance enforces: the rule plus the granted share of the tolerance.
    fn widen(self, rule: &QuotaRule) -> QuotaRule {
        let factor = 1.0 + ADMITTED_SHARE * self.overshoot;
        QuotaRule {
            rate_per_s: rule.rate_per_s * factor,
            burst: rule.burst * factor + ADMITTED_SHARE * self.slack,
            ..*rule
        }
    }
}

/// Token buckets of the client accounts. Each instance keeps its own copy and charges it with the
/// usage of all instances.
#[derive(Debug, Clone, Default)]
pub struct QuotaTracker {
    options: QuotaOptions,
    buckets: HashMap<AccountLabel, AccountBucket>,
}

#[derive(Debug, Clone)]
struct AccountBucket {
    /// Units left; `None` until the first request of the account at this instance.
    level: Option<f64>,
    /// Time of the last refill.
    refilled: MonoTime,
    /// Units charged at this instance since its start, less the refunds.
    own_used: u64,
    /// Last reported usage by peer.
    peers: HashMap<String, PeerUsage>,
}

/// Usage of an account at a peer during one run of the peer.
#[derive(Debug, Clone, Copy)]
struct PeerUsage {
    /// Identifies the run.
    run: u64,
    /// Units used at the peer since the start of the run, by its last report.
    used: u64,
    /// Smoothed usage rate, in units per second.
    rate_per_s: f64,
    /// Units charged by extrapolation since the peer's last report.
    estimated: f64,
    /// Arrival time of the last report.
    reported: MonoTime,
    /// Time up to which the usage has been extrapolated.
    charged: MonoTime,
}

impl PeerUsage {
    fn new(run: u64, used: u64, now: MonoTime) -> Self {
        Self { run, used, rate_per_s: 0.0, estimated: 0.0, reported: now, charged: now }
    }
}

impl QuotaTracker {
    /// Creates a tracker without buckets.
    #[must_use]
    pub fn new(options: QuotaOptions) -> Self {
        Self { options, buckets: HashMap::new() }
    }

    /// Changes the tolerance; the buckets are kept.
    pub fn set_options(&mut self, options: QuotaOptions) {
        self.options = options;
    }

    /// Charges `units` for a request if the bucket's level is above zero; the level may become
    /// negative.
    ///
    /// # Errors
    /// The estimated time until the bucket holds `units`, clamped to 0.05 to 5 s, if its level is
    /// zero or below.
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

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, label: &AccountLabel, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(label) {
            bucket.level = bucket.level.map(|level| level + units as f64);
            bucket.own_used = bucket.own_used.saturating_sub(units);
        }
    }

    /// Applies the usage count of a peer, which only grows within a run of the peer.
    pub fn apply_usage(
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
        // Usage of a peer before its first report, or while it was unreachable, came out of the
        // quota share reserved for it and is not charged. A new run of a known peer counts from 0.
        let newly_used = match (known, before) {
            (None, _) => 0,
            _ if is_stale => 0,
            (Some(_), before) => used.saturating_sub(before.map_or(0, |before| before.used)),
        };
        let span = before.map_or(1.0, |before| now.since(before.reported).as_secs_f64());
        let rate_per_s = newly_used as f64 / span.max(MIN_SPAN_S);
        let smooth = before.map_or(rate_per_s, |before| before.rate_per_s);
        let estimated = known.map_or(0.0, |known| known.estimated);
        bucket.level = bucket.level.map(|level| level - newly_used as f64 + estimated);
        let rate_per_s = smooth + (rate_per_s - smooth) * RATE_WEIGHT;
        let usage = PeerUsage { rate_per_s, ..PeerUsage::new(run, used, now) };
        bucket.peers.insert(peer.to_owned(), usage);
    }

    /// Units charged at this instance since its start, by account; sent in the digest.
    pub fn usage(&self) -> impl Iterator<Item = AccountUsage> {
        let usage = |(label, bucket): (&AccountLabel, &AccountBucket)| AccountUsage {
            label: label.clone(),
            used: bucket.own_used,
        };
        self.buckets.iter().map(usage)
    }
}

impl AccountBucket {
    fn new(now: MonoTime) -> Self {
        Self { level: None, refilled: now, own_used: 0, peers: HashMap::new() }
    }

    fn refill(&mut self, rule: &QuotaRule, fleet: FleetView, now: MonoTime) {
        let span = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        let first_fill = rule.burst * INITIAL_FILL / f64::from(fleet.size.max(1));
        let mut level = self.level.unwrap_or(first_fill);
        // The usage of peers between two reports is extrapolated from their rates.
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
