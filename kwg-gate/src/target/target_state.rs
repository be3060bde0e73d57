use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use super::cold_gate::ColdGate;
use super::slot_share::SlotShare;
use super::target_health::TargetHealth;
use super::target_speed::{TOKENS_READ_PER_STEP, TargetSpeed};
use super::target_standing::TargetStanding;
use crate::{InstanceMap, TargetEntry, TargetReport};

/// Part of the target latency of a plain service that requests may spend in a target's queue.
const QUEUE_SHARE: f64 = 0.3;
/// Interval at which slots are claimed: with each digest.
const CLAIM_INTERVAL: Duration = Duration::from_millis(200);
/// Time of an answer below which differences are chance rather than a property of the target, in
/// milliseconds.
const FAST_ANSWER_MS: f64 = 20.0;
/// The assumed state of one target.
#[derive(Debug, Clone)]
pub(crate) struct TargetState {
    pub(crate) entry: TargetEntry,
    pub(crate) health: TargetHealth,
    /// Whether it takes requests, by the word of the store, of the target and of peers.
    pub(crate) standing: TargetStanding,
    /// Whether it is cold, and what this instance may send to it then.
    pub(crate) cold: ColdGate,
    /// Number of this instance's attempts that occupy a slot of the target.
    pub(crate) running: u32,
    /// Prompt tokens of this instance's attempts that the target has not read yet.
    pub(crate) unread_tokens: u64,
    /// Number of this instance's idle connections to the target.
    pub(crate) idle_connections: u32,
    /// The slots of the target that this instance may use.
    pub(crate) share: SlotShare,
    /// Number of this instance's successful attempts.
    pub(crate) good: u32,
    /// Number of this instance's attempts that the target failed.
    pub(crate) bad: u32,
    /// What is learned of its speed.
    pub(crate) speed: TargetSpeed,
    /// The last report of each peer and its arrival time.
    pub(crate) reports: HashMap<String, (MonoTime, TargetReport)>,
    /// Number of requests in `reports` that run on the target.
    reported_running: u32,
    /// Prompt tokens in `reports` that the target has not read.
    reported_unread: u64,
    /// The other instances that own slots, and how many.
    owners: Vec<(String, u32)>,
}

/// Measurements of one successful attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AttemptSample {
    /// Duration of the attempt.
    pub hold: Duration,
    /// Time until the first event of the stream.
    pub first_event: Option<Duration>,
    /// Mean time between two events of the stream.
    pub event_gap: Option<Duration>,
    /// Longest pause between two events.
    pub longest_gap: Option<Duration>,
    /// Number of events of the stream.
    pub events: u64,
    /// Tokens per event.
    pub tokens_per_event: f64,
}

impl AttemptSample {
    /// Time of the attempt in relation to its work, in milliseconds: per decoding step for a
    /// generation, whose prompt counts as the steps in which it is read; else for the whole answer, of
    /// which all that take less than 20 ms count as equal.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use kwg_gate::AttemptSample;
    ///
    /// let hold = Duration::from_millis(330);
    /// let sample = AttemptSample { hold, events: 10, tokens_per_event: 10.0, ..Default::default() };
    /// assert_eq!(sample.pace_ms(2_600, true), 3.0);
    /// assert_eq!(sample.pace_ms(0, false), 330.0);
    /// ```
    #[must_use]
    pub fn pace_ms(&self, prompt_tokens: u64, on_engine: bool) -> f64 {
        let output = self.events as f64 * self.tokens_per_event.max(1.0);
        let steps = prompt_tokens as f64 / TOKENS_READ_PER_STEP + output;
        let hold_ms = self.hold.as_secs_f64() * 1e3;
        match on_engine && steps >= 1.0 {
            true => hold_ms / steps,
            false => hold_ms.max(FAST_ANSWER_MS),
        }
    }
}

impl TargetState {
    pub(crate) fn new(entry: TargetEntry) -> Self {
        let mut standing = TargetStanding::default();
        standing.record_entry(entry.is_draining);
        let speed = TargetSpeed::new(entry.slots);
        Self {
            entry,
            health: TargetHealth::default(),
            standing,
            cold: ColdGate::default(),
            running: 0,
            unread_tokens: 0,
            idle_connections: 0,
            share: SlotShare::default(),
            good: 0,
            bad: 0,
            speed,
            reports: HashMap::new(),
            reported_running: 0,
            reported_unread: 0,
            owners: Vec::new(),
        }
    }

    /// Number of requests that run on the target: this instance's, plus those in the other
    /// instances' last reports.
    pub(crate) fn load(&self) -> u32 {
        self.running + self.reported_running
    }

    /// Whether this instance may take a free slot for one more request.
    pub(crate) fn has_capacity(&self, is_contended: bool, is_local: bool) -> bool {
        let is_ample = || SlotShare::is_ample(self.speed.capacity(), self.load(), is_local);
        self.usable_slots() > 0 || (!is_contended && is_ample())
    }

    /// Whether it may take one of the slots in which streams don't keep their pauses.
    pub(crate) fn has_last_capacity(&self) -> bool {
        self.share.usable(self.entry.slots, self.load(), self.running) > 0
    }

    /// Whether one more request to a plain service is expected to leave the target's queue soon
    /// enough to be on time. Its slots need no owners: a queue of a few short requests costs less
    /// than agreeing on each slot with all other instances.
    pub(crate) fn is_served_in_time(&self, target_latency: Duration) -> bool {
        self.queue_ms() <= QUEUE_SHARE * target_latency.as_secs_f64() * 1e3
    }

    /// Expected time that one more request waits in the queue of a plain service, in milliseconds.
    pub(crate) fn queue_ms(&self) -> f64 {
        let queued = (self.load() + 1).saturating_sub(self.entry.slots);
        f64::from(queued) / f64::from(self.entry.slots.max(1)) * self.hold_ms()
    }

    /// Whether a slot that this instance owns is idle.
    pub(crate) fn has_idle_owned_slot(&self) -> bool {
        self.share.has_idle_owned(self.running)
    }

    /// Number of free slots that this instance may take.
    pub(crate) fn usable_slots(&self) -> u32 {
        self.share.usable(self.speed.capacity(), self.load(), self.running)
    }

    /// Applies an allocation of the slots to their owners.
    pub(crate) fn set_owners<'a>(
        &mut self,
        allocated: impl Iterator<Item = (&'a str, u32)>,
        own: &str,
    ) {
        self.share.set_owned(0);
        self.owners.clear();
        for (name, count) in allocated {
            match name == own {
                true => self.share.set_owned(count),
                false if count > 0 => self.owners.push((name.to_owned(), count)),
                false => {}
            }
        }
    }

    /// Number of free slots that their owners do not need; owners need them while requests wait at
    /// them. The slots of an owner that sends no reports to this instance stay reserved, unless the
    /// sum of the target's failure domain reports that no requests wait. The sum of the own domain
    /// (`is_local`) counts the owners' waiting requests, so that all claims share the free slots.
    pub(crate) fn lendable_slots(
        &self,
        has_waiting: impl Fn(&str) -> Option<bool>,
        is_local: bool,
    ) -> u32 {
        let free = self.speed.capacity().saturating_sub(self.load());
        let domain = InstanceMap::domain_peer_name(&self.entry.domain);
        let domain_waits = || has_waiting(&domain);
        let wanted = |(owner, owned): &(String, u32)| match has_waiting(owner) {
            Some(true) => {
                let running = self.reports.get(owner).map_or(0, |(_, report)| report.running);
                owned.saturating_sub(u32::from(running))
            }
            Some(false) => 0,
            None if is_local && domain_waits().is_some() => 0,
            None if domain_waits() == Some(false) => 0,
            None => *owned,
        };
        free.saturating_sub(self.owners.iter().map(wanted).sum())
    }

    /// Share of a free slot that may be claimed in one interval. If another instance takes a slot,
    /// it appears free until that instance's report arrives, and all claims to it in that time
    /// together must not exceed one slot.
    pub(crate) fn claim_rate(&self, now: MonoTime) -> f64 {
        let age = self.load_age(now).as_secs_f64().max(CLAIM_INTERVAL.as_secs_f64());
        CLAIM_INTERVAL.as_secs_f64() / age
    }

    /// Age of the oldest report that is included in the load.
    pub(crate) fn load_age(&self, now: MonoTime) -> Duration {
        let oldest = self.reports.values().map(|(at, _)| *at).min();
        oldest.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Prompt tokens of all instances' requests that the target has not read yet.
    pub(crate) fn waiting_tokens(&self) -> u64 {
        self.unread_tokens + self.reported_unread
    }

    /// Mean time per token of an answer, in milliseconds, in batches of recent size.
    pub(crate) fn ms_per_token(&self) -> f64 {
        self.speed.figures().step_ms
    }

    /// Time in which the target reads one prompt token, in milliseconds; derived from the time of a decoding step
    /// as far as it is not measured.
    pub(crate) fn read_ms_per_token(&self) -> f64 {
        self.speed.figures().read_ms
    }

    /// Mean duration of an attempt over all instances, in milliseconds.
    pub(crate) fn hold_ms(&self) -> f64 {
        self.speed.figures().hold_ms
    }

    /// Whether there are measurements of answers, of any instance, from which times can be predicted.
    pub(crate) fn is_measured(&self, on_engine: bool) -> bool {
        let figures = self.speed.figures();
        let weight = if on_engine { figures.step_weight } else { figures.hold_weight };
        weight > 0.0
    }

    /// Mean of the longest pause between events of each stream, over all instances, in milliseconds; 0 before the
    /// first stream.
    pub(crate) fn longest_gap_ms(&self) -> f64 {
        self.speed.figures().gap_ms
    }

    pub(crate) fn add_sample(&mut self, sample: &AttemptSample, now: MonoTime) {
        self.speed.add_sample(sample, now);
        self.pool_speed(now);
    }

    /// Whether one more request of this instance may be sent to the target: it is not leaving, wants
    /// requests, and is not cold with this instance's share of its rate used up.
    pub(crate) fn takes_requests(&self, now: MonoTime) -> bool {
        self.standing.accepts(self.running, now) && (!self.is_cold(now) || self.cold.room(now) > 0)
    }

    /// Whether the target is cold: it tolerates only few requests a second.
    pub(crate) fn is_cold(&self, now: MonoTime) -> bool {
        self.cold.cold_until(&self.entry.cold, now).is_some()
    }

    /// Whether a cold target has a slot for one more request. Its rate limits the requests of all instances, so that
    /// its slots need no owners.
    pub(crate) fn has_cold_slot(&self, now: MonoTime) -> bool {
        self.is_cold(now) && self.load() < self.entry.slots
    }

    /// Mark of the target's run in reports; never 0.
    fn run_mark(&self) -> u16 {
        (self.entry.born % u64::from(u16::MAX)) as u16 + 1
    }

    /// Applies a peer's report, or that the peer does not use the target. The answer counts of a
    /// report only grow, so the differences are new answers.
    pub(crate) fn apply_report(&mut self, peer: &str, report: Option<TargetReport>, now: MonoTime) {
        if report.is_some_and(|report| report.leaving_run == self.run_mark()) {
            self.standing.record_peer(now);
        }
        match (self.reports.get_mut(peer), report) {
            (Some((at, last)), report) => {
                let report = report.unwrap_or_default();
                let good = report.good.saturating_sub(last.good);
                let bad = report.bad.saturating_sub(last.bad);
                let before = std::mem::replace(last, report);
                *at = now;
                self.count_report(&before, &report);
                self.health.record_reported(good, bad, now);
            }
            (None, Some(report)) => {
                self.reports.insert(peer.to_owned(), (now, report));
                self.count_report(&TargetReport::default(), &report);
            }
            (None, None) => return,
        }
        // The figures are computed with each interval; only the first evidence is used at once.
        if !self.is_measured(true) && !self.is_measured(false) {
            self.pool_speed(now);
        }
    }

    /// Replaces a report by another one in the sums, so that a placement needn't add up all reports.
    fn count_report(&mut self, before: &TargetReport, after: &TargetReport) {
        self.reported_running =
            self.reported_running + u32::from(after.running) - u32::from(before.running);
        self.reported_unread =
            self.reported_unread + u64::from(after.unread_tokens) - u64::from(before.unread_tokens);
    }

    /// Drops the report of a peer.
    pub(crate) fn drop_report(&mut self, peer: &str) {
        if let Some((_, report)) = self.reports.remove(peer) {
            self.count_report(&report, &TargetReport::default());
        }
    }

    /// The report of this instance for its peers.
    pub(crate) fn report(&self) -> TargetReport {
        let mut report = TargetReport {
            leaving_run: if self.standing.has_own_word() { self.run_mark() } else { 0 },
            running: u16::try_from(self.running).unwrap_or(u16::MAX),
            unread_tokens: u32::try_from(self.unread_tokens).unwrap_or(u32::MAX),
            good: self.good,
            bad: self.bad,
            ..TargetReport::default()
        };
        self.speed.fill_report(&mut report);
        report
    }
}
