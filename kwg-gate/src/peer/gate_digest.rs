use serde::{Deserialize, Serialize};

use crate::{AccountLabel, MoveReport, ServiceName, TargetId};

/// State of an instance, or the sum of a failure domain, sent to peers several times a second. The
/// usage and answer counts only grow within a run, so a lost digest only delays their update.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateDigest {
    /// Number that identifies the sender's run.
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
    /// The sender's reports of targets.
    pub targets: Vec<(TargetId, TargetReport)>,
    /// Number of requests that wait for capacity at the sender, by service.
    pub waiting: Vec<(ServiceName, u16)>,
    /// The sender's reports of version moves.
    pub moves: Vec<MoveReport>,
    /// Fingerprints of requests whose runs were cut at the sender, and how often.
    pub suspects: Vec<(u64, u32)>,
}

impl GateDigest {
    /// Adds the work of another instance to this digest.
    pub fn add(&mut self, other: &Self) {
        self.members += other.members;
        for usage in &other.accounts {
            match self.accounts.iter_mut().find(|known| known.label == usage.label) {
                Some(known) => known.used += usage.used,
                None => self.accounts.push(usage.clone()),
            }
        }
        for (id, report) in &other.targets {
            match self.targets.iter_mut().find(|(known, _)| known == id) {
                Some((_, known)) => known.add(report),
                None => self.targets.push((id.clone(), *report)),
            }
        }
        for (service, count) in &other.waiting {
            match self.waiting.iter_mut().find(|(known, _)| known == service) {
                Some((_, known)) => *known = known.saturating_add(*count),
                None => self.waiting.push((service.clone(), *count)),
            }
        }
        for report in &other.moves {
            let known = self.moves.iter_mut().find(|known| {
                (&known.service, known.revision) == (&report.service, report.revision)
            });
            match known {
                Some(known) => known.add(report),
                None => self.moves.push(report.clone()),
            }
        }
        for (fingerprint, count) in &other.suspects {
            match self.suspects.iter_mut().find(|(known, _)| known == fingerprint) {
                Some((_, known)) => *known += count,
                None => self.suspects.push((*fingerprint, *count)),
            }
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
}

impl TargetReport {
    /// Adds another instance's report of the same target.
    fn add(&mut self, other: &Self) {
        self.running = self.running.saturating_add(other.running);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.good = self.good.wrapping_add(other.good);
        self.bad = self.bad.wrapping_add(other.bad);
        let mean = |own: u32, own_weight: u8, other: u32, weight: u8| {
            let total = u32::from(own_weight) + u32::from(weight);
            let sum = own * u32::from(own_weight) + other * u32::from(weight);
            sum.checked_div(total).unwrap_or(0)
        };
        self.step_us = mean(self.step_us, self.step_weight, other.step_us, other.step_weight);
        self.step_weight = self.step_weight.saturating_add(other.step_weight);
        self.hold_ms = mean(self.hold_ms, self.hold_weight, other.hold_ms, other.hold_weight);
        self.hold_weight = self.hold_weight.saturating_add(other.hold_weight);
    }
}
