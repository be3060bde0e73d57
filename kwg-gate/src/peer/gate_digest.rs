use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{AccountLabel, EndKey, EndRecord, MoveReport, ServiceName, TargetCode};

/// State of an instance, or the sum of a failure domain. Peers receive it several times a second as
/// [`DigestDelta`](crate::DigestDelta)s. The usage and answer counts only grow within a run, so a
/// lost digest only delays their update.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateDigest {
    /// Number that identifies the sender's run; 0 in a sum.
    pub run: u64,
    /// Number of instances whose work is included.
    pub members: u16,
    /// Revision of the operators' rows that the sender has applied.
    pub orders_revision: u64,
    /// Revision of the target entries that the sender has applied.
    pub registry_revision: u64,
    /// Whether the store answers the sender.
    pub store_answers: bool,
    /// Usage of the client accounts at the sender.
    pub accounts: Vec<AccountUsage>,
    /// The sender's reports of the targets that it has used.
    pub targets: Vec<(TargetCode, TargetReport)>,
    /// Number of requests that wait for capacity at the sender, by service.
    pub waiting: Vec<(ServiceName, u16)>,
    /// The sender's reports of version moves.
    pub moves: Vec<MoveReport>,
    /// Ends of targets under requests that the sender knows of, whoever has seen them.
    pub ends: Vec<EndRecord>,
}

impl GateDigest {
    /// Adds up the digests of a failure domain, from the relay's `own` and those of its `others`.
    /// The revisions and the store's state are the relay's.
    #[must_use]
    pub fn sum<'a>(own: &'a Self, others: impl Iterator<Item = &'a Self>) -> Self {
        let mut sum = Self { run: 0, members: 0, ..own.clone() };
        let mut accounts: HashMap<&AccountLabel, u64> = HashMap::new();
        let mut targets: HashMap<TargetCode, TargetReport> = HashMap::new();
        let mut waiting: HashMap<&ServiceName, u16> = HashMap::new();
        let mut ends: HashMap<EndKey, EndRecord> = HashMap::new();
        sum.moves.clear();
        for digest in std::iter::once(own).chain(others) {
            sum.members = sum.members.saturating_add(digest.members);
            for usage in &digest.accounts {
                *accounts.entry(&usage.label).or_default() += usage.used;
            }
            for (code, report) in &digest.targets {
                targets.entry(*code).or_default().add(report);
            }
            for (service, count) in &digest.waiting {
                let known = waiting.entry(service).or_default();
                *known = known.saturating_add(*count);
            }
            digest.moves.iter().for_each(|report| sum.add_move(report));
            for record in &digest.ends {
                ends.entry(record.key).or_insert(*record).merge(record);
            }
        }
        let usage =
            |(label, used): (&AccountLabel, u64)| AccountUsage { label: label.clone(), used };
        sum.accounts = accounts.into_iter().map(usage).collect();
        sum.targets = targets.into_iter().collect();
        sum.waiting = waiting.into_iter().map(|(name, count)| (name.clone(), count)).collect();
        sum.ends = ends.into_values().collect();
        sum
    }

    /// The usage of accounts alone, without the instance's present work.
    pub(crate) fn usage_only(&self) -> Self {
        Self { accounts: self.accounts.clone(), ..Self::default() }
    }

    /// Removes the work of one of the instances that this sum includes. The mean durations stay
    /// those of all instances, and so do the ends of targets, which are a set and no sum.
    pub(crate) fn subtract(&mut self, part: &Self) {
        self.members = self.members.saturating_sub(part.members);
        let used: HashMap<&AccountLabel, u64> =
            part.accounts.iter().map(|usage| (&usage.label, usage.used)).collect();
        for usage in &mut self.accounts {
            usage.used = usage.used.saturating_sub(used.get(&usage.label).copied().unwrap_or(0));
        }
        let reports: HashMap<TargetCode, &TargetReport> =
            part.targets.iter().map(|(code, report)| (*code, report)).collect();
        for (code, report) in &mut self.targets {
            if let Some(own) = reports.get(code) {
                report.subtract(own);
            }
        }
        for (service, count) in &mut self.waiting {
            let own = part.waiting.iter().find(|(name, _)| name == service);
            *count = count.saturating_sub(own.map_or(0, |(_, count)| *count));
        }
        for report in &mut self.moves {
            if let Some(own) = part.moves.iter().find(|own| own.is_same_move(report)) {
                report.subtract(own);
            }
        }
    }

    fn add_move(&mut self, report: &MoveReport) {
        match self.moves.iter_mut().find(|known| known.is_same_move(report)) {
            Some(known) => known.add(report),
            None => self.moves.push(report.clone()),
        }
    }
}

/// Usage of an account at one instance, or summed over a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// The account.
    pub label: AccountLabel,
    /// Units used since the start of the instance, or of each instance of the domain.
    pub used: u64,
}

/// Counts and measurements of a target at one instance, or summed over a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Number of the instance's requests that run on the target.
    pub running: u16,
    /// Prompt tokens of the instance's requests that the target has not read yet.
    pub unread_tokens: u32,
    /// Number of successful attempts since the instance's start.
    pub good: u32,
    /// Number of attempts that the target failed since then.
    pub bad: u32,
    /// Mean time of a decoding step, in microseconds.
    pub step_us: u32,
    /// Number of samples in `step_us`.
    pub step_weight: u8,
    /// Mean duration of a successful attempt, in milliseconds.
    pub hold_ms: u32,
    /// Number of samples in `hold_ms`.
    pub hold_weight: u8,
    /// Mark of the run of the target that has told the instance that it leaves; 0 if none has.
    pub leaving_run: u16,
    /// Mean time in which one prompt token was read, in nanoseconds.
    pub read_ns: u32,
    /// Number of samples in `read_ns`.
    pub read_weight: u8,
    /// Mean of the longest pause of each stream, in milliseconds.
    pub gap_ms: u32,
    /// Number of samples in `gap_ms`.
    pub gap_weight: u8,
}

impl TargetReport {
    /// Adds another instance's report of the same target.
    fn add(&mut self, other: &Self) {
        self.running = self.running.saturating_add(other.running);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.good = self.good.wrapping_add(other.good);
        self.bad = self.bad.wrapping_add(other.bad);
        add_mean((&mut self.step_us, &mut self.step_weight), (other.step_us, other.step_weight));
        add_mean((&mut self.hold_ms, &mut self.hold_weight), (other.hold_ms, other.hold_weight));
        add_mean((&mut self.read_ns, &mut self.read_weight), (other.read_ns, other.read_weight));
        add_mean((&mut self.gap_ms, &mut self.gap_weight), (other.gap_ms, other.gap_weight));
        self.leaving_run = self.leaving_run.max(other.leaving_run);
    }

    /// Removes the counts of one of the instances that this report sums up.
    fn subtract(&mut self, part: &Self) {
        self.running = self.running.saturating_sub(part.running);
        self.unread_tokens = self.unread_tokens.saturating_sub(part.unread_tokens);
        self.good = self.good.saturating_sub(part.good);
        self.bad = self.bad.saturating_sub(part.bad);
    }
}

/// Adds a mean and its number of samples to another one.
fn add_mean((mean, samples): (&mut u32, &mut u8), (other, weight): (u32, u8)) {
    let total = u64::from(*samples) + u64::from(weight);
    let sum = u64::from(*mean) * u64::from(*samples) + u64::from(other) * u64::from(weight);
    *mean = sum.checked_div(total).and_then(|mean| u32::try_from(mean).ok()).unwrap_or(0);
    *samples = samples.saturating_add(weight);
}
