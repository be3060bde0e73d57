use std::collections::HashMap;
use std::time::Duration;

/// The region of each failure domain, and this instance's own domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainMap {
    /// Failure domain of this instance.
    pub own: String,
    /// The region of each failure domain.
    pub regions: HashMap<String, String>,
}

/// Network distance between this instance and a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DomainDistance {
    /// The same failure domain.
    SameDomain,
    /// Another failure domain of the same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl DomainMap {
    /// Distance to a failure domain; an unknown one counts as [`DomainDistance::OtherRegion`].
    #[must_use]
    pub fn distance(&self, domain: &str) -> DomainDistance {
        match domain == self.own {
            true => DomainDistance::SameDomain,
            false if self.share_region(domain, &self.own) => DomainDistance::SameRegion,
            false => DomainDistance::OtherRegion,
        }
    }
}

impl DomainMap {
    /// Whether two failure domains are known to be in the same region.
    #[must_use]
    pub fn share_region(&self, one: &str, other: &str) -> bool {
        let region = |name: &str| self.regions.get(name);
        region(one).is_some() && region(one) == region(other)
    }
}

impl DomainDistance {
    /// Assumed round-trip time over this distance.
    #[must_use]
    pub fn round_trip(self) -> Duration {
        match self {
            Self::SameDomain => Duration::from_micros(200),
            Self::SameRegion => Duration::from_millis(2),
            Self::OtherRegion => Duration::from_millis(24),
        }
    }
}
