use std::collections::BTreeSet;

/// The failure domains that the operators evacuate: nothing new is sent to their targets.
///
/// ```
/// use kwg_gate::EvacuatedDomains;
///
/// let before = EvacuatedDomains::default();
/// let after: EvacuatedDomains = ["graz", "wien"].into_iter().collect();
/// assert!(after.contains("graz") && !before.contains("graz"));
/// assert!(after.without(&before).eq(["graz", "wien"]));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuatedDomains(BTreeSet<String>);

impl EvacuatedDomains {
    /// Whether a domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.0.contains(domain)
    }

    /// Number of evacuated domains.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// The domains that are not evacuated according to `other`.
    pub fn without<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a str> {
        self.0.difference(&other.0).map(String::as_str)
    }
}

impl<'a> FromIterator<&'a str> for EvacuatedDomains {
    fn from_iter<I: IntoIterator<Item = &'a str>>(domains: I) -> Self {
        Self(domains.into_iter().map(str::to_owned).collect())
    }
}
