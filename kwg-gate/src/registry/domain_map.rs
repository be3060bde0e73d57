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
    /// Whether a failure domain lies in one of some regions, or there is no bound. A domain of unknown region lies in
    /// none.
    ///
    /// ```
    /// use kwg_gate::DomainMap;
    ///
    /// let regions = [("ibk".to_owned(), "west".to_owned())].into();
    /// let domains = DomainMap { own: "ibk".to_owned(), regions };
    /// assert!(domains.is_within("ibk", Some(&["west".to_owned()])));
    /// assert!(!domains.is_within("isle", Some(&["west".to_owned()])));
    /// assert!(domains.is_within("isle", None));
    /// ```
    #[must_use]
    pub fn is_within(&self, domain: &str, regions: Option<&[String]>) -> bool {
        regions.is_none_or(|allowed| {
            self.regions.get(domain).is_some_and(|region| allowed.contains(region))
        })
    }

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
