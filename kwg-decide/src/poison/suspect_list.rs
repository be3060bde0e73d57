use std::collections::BTreeMap;
use std::time::Duration;

use kwg_model::{MonoTime, TargetName};

/// Limits of the list of suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonOptions {
    /// How long after its last crash a fingerprint is forgotten.
    pub memory: Duration,
    /// Crashes of different targets after which a request is refused.
    pub crashes: usize,
    /// Most fingerprints that are remembered.
    pub max_suspects: usize,
}

impl Default for PoisonOptions {
    fn default() -> Self {
        Self { memory: Duration::from_secs(600), crashes: 2, max_suspects: 1_024 }
    }
}

/// What is known of a request by its fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Nothing: it may run anywhere.
    Clear,
    /// A target crashed with it: it may run on one target at a time.
    Suspect,
    /// Targets crashed with it again and again: it is refused.
    Poison,
}

/// Fingerprints of requests under which targets crashed.
///
/// ```
/// use kwg_decide::{PoisonOptions, SuspectList, SuspectVerdict};
/// use kwg_model::{MonoTime, TargetName};
///
/// let mut list = SuspectList::new(PoisonOptions::default());
/// let target = |name: &str| TargetName::new(name).expect("valid");
/// list.note_crash(MonoTime::ZERO, 7, target("e1"));
/// assert_eq!(list.verdict(7), SuspectVerdict::Suspect);
/// list.note_crash(MonoTime::ZERO, 7, target("e2"));
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
    crashed: Vec<TargetName>,
    last: MonoTime,
}

impl SuspectList {
    /// An empty list.
    #[must_use]
    pub fn new(options: PoisonOptions) -> Self {
        Self { options, suspects: BTreeMap::new() }
    }

    /// Notes that a target crashed while it ran a request; whether that was news. The same
    /// target counts again, since it has been started anew.
    pub fn note_crash(&mut self, now: MonoTime, fingerprint: u64, target: TargetName) -> bool {
        if self.suspects.len() >= self.options.max_suspects {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|fingerprint| self.suspects.remove(&fingerprint));
        }
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect { crashed: Vec::new(), last: now });
        suspect.last = now;
        suspect.crashed.push(target);
        suspect.crashed.len() <= self.options.crashes
    }

    /// What is known of a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64) -> SuspectVerdict {
        match self.suspects.get(&fingerprint) {
            None => SuspectVerdict::Clear,
            Some(suspect) if suspect.crashed.len() >= self.options.crashes => {
                SuspectVerdict::Poison
            }
            Some(_) => SuspectVerdict::Suspect,
        }
    }

    /// Forgets fingerprints whose last crash is long past.
    pub fn forget_old(&mut self, now: MonoTime) {
        let memory = self.options.memory;
        self.suspects.retain(|_, suspect| now.since(suspect.last) <= memory);
    }
}
