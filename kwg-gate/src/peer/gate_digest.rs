use serde::{Deserialize, Serialize};

use crate::{AccountLabel, ServiceName, TargetId};

/// What an instance tells its peers, several times a second. Every count only grows within a
/// run, so a lost digest costs nothing but time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateDigest {
    /// The sender's run.
    pub run: u64,
    /// Revision of the operators' rows that it has applied.
    pub orders_revision: u64,
    /// Revision of the targets' entries that it has applied.
    pub registry_revision: u64,
    /// Whether the store answers it.
    pub store_answers: bool,
    /// What the client accounts have used there.
    pub accounts: Vec<AccountUsage>,
    /// What it knows of targets.
    pub targets: Vec<(TargetId, TargetReport)>,
    /// Requests that wait there for room, by service.
    pub waiting: Vec<(ServiceName, u16)>,
    /// Requests whose runs were cut off there, and how often.
    pub suspects: Vec<(u64, u32)>,
}

/// What an account has used at one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// The account.
    pub label: AccountLabel,
    /// Units since the instance's start.
    pub used: u64,
}

/// What one instance knows of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Its requests that run there.
    pub running: u16,
    /// Tokens of its requests' prompts that have not been read.
    pub unread_tokens: u32,
    /// Attempts that ended well since the instance's start.
    pub good: u32,
    /// Attempts that the target failed since then.
    pub bad: u32,
    /// Time of a decoding step, in microseconds.
    pub step_us: u32,
    /// Samples behind it.
    pub step_weight: u8,
    /// Time that a request holds a place, in milliseconds.
    pub hold_ms: u32,
    /// Samples behind it.
    pub hold_weight: u8,
}
