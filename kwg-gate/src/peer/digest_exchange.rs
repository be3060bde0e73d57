use std::collections::{BTreeMap, HashMap};

use crate::{
    DigestDelta, DigestHistory, DigestMirror, DigestSource, DomainListing, DomainView, EndFeed,
    GateDigest,
};

/// Number of views after which the members are listed again although they have not changed.
const LISTING_INTERVAL: u32 = 10;
/// Number of known ends of targets that each sum for other domains repeats, because a sum may be lost.
const REPEATED_ENDS: usize = 16;

/// Encodes and decodes the digests that one instance exchanges with others: its own, those of its
/// peers and, in a large failure domain, the views of the domain's relay.
#[derive(Debug, Clone, Default)]
pub struct DigestExchange {
    source: DigestSource,
    history: DigestHistory,
    /// Digests received from other instances, by instance.
    mirrors: HashMap<String, DigestMirror>,
    /// The relay whose views were applied last, and the sums in them by domain.
    relay: String,
    view_mirrors: HashMap<String, DigestMirror>,
    /// As relay: the sums sent in views, by domain.
    view_sources: HashMap<String, DigestSource>,
    /// As relay: ends of targets that have been sent in sums to other domains.
    sum_ends: EndFeed,
    /// As relay: sums of other domains that the next views will contain.
    new_sums: BTreeMap<String, GateDigest>,
    /// As relay: the last listing sent, and the number of views since then.
    listing: (DomainListing, u32),
}

impl DigestExchange {
    /// Encodes this instance's next digest.
    pub fn encode_own(&mut self, digest: &GateDigest) -> DigestDelta {
        let delta = self.source.next_delta(digest);
        self.history.record(delta.number, digest);
        delta
    }

    /// Decodes the next digest of another instance; `None` if it is not newer than the last one.
    pub fn decode(&mut self, from: &str, delta: &DigestDelta) -> Option<GateDigest> {
        match self.mirrors.get_mut(from) {
            Some(mirror) => mirror.apply(delta),
            None => self.mirrors.entry(from.to_owned()).or_default().apply(delta),
        }
    }

    /// Whether a delta of another instance is missing here.
    #[must_use]
    pub fn has_gap(&self, from: &str) -> bool {
        self.mirrors.get(from).is_some_and(DigestMirror::has_gap)
    }

    /// Makes the next digest and the next sums complete, because a recipient has missed one.
    pub fn request_full(&mut self) {
        self.source.request_full();
        self.view_sources.values_mut().for_each(DigestSource::request_full);
        self.listing.1 = LISTING_INTERVAL;
    }

    /// Whether a sum is to be sent to the other domains at once, because it has an end of a target that they do not
    /// know.
    #[must_use]
    pub fn has_new_ends(&self, sum: &GateDigest) -> bool {
        self.sum_ends.has_news(&sum.ends)
    }

    /// Encodes a sum for other domains: it is complete, but for the ends of targets, of which it has the new ones and
    /// some of the others in turn.
    pub fn encode_sum(&mut self, sum: &GateDigest) -> DigestDelta {
        let ends = self.sum_ends.take(&sum.ends, REPEATED_ENDS);
        DigestSource::default().next_delta(&GateDigest { ends, ..sum.clone() })
    }

    /// Keeps the sum of another domain for the next views.
    pub fn keep_sum(&mut self, domain: &str, sum: GateDigest) {
        self.new_sums.insert(domain.to_owned(), sum);
    }

    /// The next view, without the field that differs between recipients.
    pub fn next_view(
        &mut self,
        domain: &str,
        sum: GateDigest,
        listing: DomainListing,
    ) -> DomainView {
        let mut sums = std::mem::take(&mut self.new_sums);
        sums.insert(domain.to_owned(), sum);
        let encode = |(domain, sum): (String, GateDigest)| {
            let delta = self.view_sources.entry(domain.clone()).or_default().next_delta(&sum);
            (domain, delta)
        };
        let sums = sums.into_iter().map(encode).collect();
        let (last, age) = &mut self.listing;
        *age += 1;
        let listing = (*last != listing || *age > LISTING_INTERVAL).then(|| {
            (*last, *age) = (listing.clone(), 0);
            listing
        });
        DomainView { included: None, sums, listing }
    }

    /// Run and number of the last digest of another instance.
    #[must_use]
    pub fn last_of(&self, name: &str) -> Option<(u64, u32)> {
        self.mirrors.get(name).and_then(DigestMirror::last)
    }

    /// Decodes the sums in a view, by domain. This instance's own work, `run`, is removed from the
    /// sum of its `domain`; that sum is left out if it is outdated.
    pub fn decode_view(
        &mut self,
        from: &str,
        view: &DomainView,
        domain: &str,
        run: u64,
    ) -> Vec<(String, GateDigest)> {
        if self.relay != from {
            self.relay = from.to_owned();
            self.view_mirrors.clear();
        }
        let mut digests = Vec::new();
        for (of, delta) in &view.sums {
            let mirror = self.view_mirrors.entry(of.clone()).or_default();
            let Some(sum) = mirror.apply(delta) else { continue };
            let included = view.included.filter(|(included, _)| *included == run);
            let sum = match of == domain {
                true => self.history.without_own(&sum, included.map(|(_, number)| number)),
                false => Some(sum),
            };
            digests.extend(sum.map(|sum| (of.clone(), sum)));
        }
        digests
    }

    /// Whether a delta of the relay's views is missing here.
    #[must_use]
    pub fn has_view_gap(&self) -> bool {
        self.view_mirrors.values().any(DigestMirror::has_gap)
    }

    /// Drops the state of instances that `is_member` no longer names.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.mirrors.retain(|name, _| is_member(name));
    }
}
