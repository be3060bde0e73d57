use std::collections::BTreeMap;
use std::time::Duration;

use kwg_model::{MonoTime, TargetName};

/// Thresholds and size limits of a [`SuspectList`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonOptions {
    /// How long after its last crash a fingerprint is removed.
    pub retention: Duration,
    /// Number of crashes after which a request is refused.
    pub crash_threshold: usize,
    /// Maximum number of fingerprints. At the limit, each recorded crash first evicts the one whose
    /// last crash is oldest.
    pub max_suspects: usize,
}

impl Default for PoisonOptions {
    fn default() -> Self {
        Self { retention: Duration::from_secs(600), crash_threshold: 2, max_suspects: 1_024 }
    }
}

/// Classification of a request by its fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// No crash is recorded; the request may run anywhere.
    Clear,
    /// A target crashed while running it; the request may run on one target at a time.
    Suspect,
    /// Crashes have reached [`PoisonOptions::crash_threshold`]; the request is refused.
    Poison,
}

/// Fingerprints of requests that were running when targets crashed.
///
/// ```
/// use kwg_decide::{PoisonOptions, SuspectList, SuspectVerdict};
/// use kwg_model::{MonoTime, TargetName};
///
/// let mut list = SuspectList::new(PoisonOptions::default());
/// let target = |name: &str| TargetName::new(name).expect("valid");
/// list.record_crash(MonoTime::ZERO, 7, target("e1"));
/// assert_eq!(list.verdict(7), SuspectVerdict::Suspect);
/// list.record_crash(MonoTime::ZERO, 7, target("e2"));
/// assert_eq!(list.verdict(7), SuspectVerdict::Poison);
/// assert_eq!(list.verdict(8), SuspectVerdict::Clear);
/// ```
#[derive(Debug, Clone, Default)]
pub struct SuspectList {
    options: PoisonOptions,
    suspects: BTreeMap<u64, Suspect>,
}

#[derive(Debug, Clone)]
struct Suspect {
    /// Target of each crash; repeated if it crashed again.
    crashed_targets: Vec<TargetName>,
    last_crash: MonoTime,
}

impl SuspectList {
    /// Creates an empty list.
    #[must_use]
    pub fn new(options: PoisonOptions) -> Self {
        Self { options, suspects: BTreeMap::new() }
    }

    /// Records that a target crashed while running a request; returns whether the crash may
    /// change the verdict.
    ///
    /// Repeated crashes of the same target count, since it was restarted in between.
    pub fn record_crash(&mut self, now: MonoTime, fingerprint: u64, target: TargetName) -> bool {
        if self.suspects.len() >= self.options.max_suspects {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_crash);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|fingerprint| self.suspects.remove(&fingerprint));
        }
        let suspect = self.suspects.entry(fingerprint);
        let suspect =
            suspect.or_insert_with(|| Suspect { crashed_targets: Vec::new(), last_crash: now });
        suspect.last_crash = now;
        suspect.crashed_targets.push(target);
        suspect.crashed_targets.len() <= self.options.crash_threshold
    }

    /// Returns the classification of a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64) -> SuspectVerdict {
        match self.suspects.get(&fingerprint) {
            None => SuspectVerdict::Clear,
            Some(suspect) if suspect.crashed_targets.len() >= self.options.crash_threshold => {
                SuspectVerdict::Poison
            }
            Some(_) => SuspectVerdict::Suspect,
        }
    }

    /// Removes fingerprints whose last crash is longer ago than [`PoisonOptions::retention`].
    pub fn evict_expired(&mut self, now: MonoTime) {
        let retention = self.options.retention;
        self.suspects.retain(|_, suspect| now.since(suspect.last_crash) <= retention);
    }
}
