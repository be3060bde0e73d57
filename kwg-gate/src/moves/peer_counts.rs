use std::collections::{BTreeMap, HashMap};

use super::{MoveEvidence, ReportSource};

/// Answers at other instances, as they report them.
///
/// The counts of a run that has ended stay. An instance may report by itself as well as in the sum of
/// its failure domain; both are lower bounds of the same counts then, and the higher one is used.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerCounts {
    sources: HashMap<(String, u64), SourceCounts>,
}

#[derive(Debug, Clone)]
struct SourceCounts {
    domain: Option<String>,
    is_sum: bool,
    evidence: MoveEvidence,
}

impl PeerCounts {
    /// Replaces the counts of a source. Those of ended attempts in a sum do not decrease: it leaves out
    /// silent members, and what members counted before a restart.
    pub(super) fn record(&mut self, source: ReportSource<'_>, evidence: &MoveEvidence) {
        let key = (source.peer.to_owned(), source.run);
        let mut evidence = evidence.clone();
        if let Some(known) = self.sources.get(&key).filter(|known| known.is_sum) {
            evidence.raise_ended(&known.evidence);
        }
        let domain = source.domain.map(str::to_owned);
        self.sources.insert(key, SourceCounts { domain, is_sum: source.is_sum, evidence });
    }

    /// Forgets all counts.
    pub(super) fn clear(&mut self) {
        self.sources.clear();
    }

    /// Number of peers, runs and sums that have reported.
    pub(super) fn sources(&self) -> u32 {
        u32::try_from(self.sources.len()).unwrap_or(u32::MAX)
    }

    /// Adds the counts of all instances, each answer once.
    pub(super) fn add_to(&self, evidence: &mut MoveEvidence) {
        let sums = self.sources.values().filter(|counts| counts.is_sum);
        let mut domains: BTreeMap<&str, (&MoveEvidence, MoveEvidence)> = sums
            .filter_map(|sum| {
                Some((sum.domain.as_deref()?, (&sum.evidence, MoveEvidence::default())))
            })
            .collect();
        for counts in self.sources.values().filter(|counts| !counts.is_sum) {
            match counts.domain.as_deref().and_then(|domain| domains.get_mut(domain)) {
                Some((_, members)) => members.add(&counts.evidence),
                None => evidence.add(&counts.evidence),
            }
        }
        for (sum, mut members) in domains.into_values() {
            members.raise(sum);
            evidence.add(&members);
        }
    }
}
