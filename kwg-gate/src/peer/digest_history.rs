use std::collections::VecDeque;

use crate::GateDigest;

/// Number of digests that are kept: those of the last 3 s. A sum that includes an older one is
/// outdated.
const KEPT_DIGESTS: usize = 16;

/// This instance's last digests, by number. They are subtracted from the sum of the own failure
/// domain, which a relay computes from the digests that have reached it.
#[derive(Debug, Clone, Default)]
pub struct DigestHistory {
    digests: VecDeque<(u32, GateDigest)>,
}

impl DigestHistory {
    /// Keeps the digest that was sent under `number`.
    pub fn record(&mut self, number: u32, digest: &GateDigest) {
        if self.digests.len() == KEPT_DIGESTS {
            self.digests.pop_front();
        }
        // Ends of targets are not subtracted from a sum.
        let kept = GateDigest { ends: Vec::new(), ..digest.clone() };
        self.digests.push_back((number, kept));
    }

    /// What the other instances contribute to a sum that includes this instance's digest
    /// `included`, or none of its digests. `None` if that digest is no longer kept.
    #[must_use]
    pub fn without_own(&self, sum: &GateDigest, included: Option<u32>) -> Option<GateDigest> {
        let Some(included) = included else { return Some(sum.clone()) };
        let (_, own) = self.digests.iter().find(|(number, _)| *number == included)?;
        let mut others = sum.clone();
        others.subtract(own);
        Some(others)
    }
}
