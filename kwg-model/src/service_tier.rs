use std::fmt;

use serde::{Deserialize, Serialize};

/// The urgency of a request: tier 0 is the most urgent.
///
/// ```
/// use kwg_model::ServiceTier;
///
/// let urgent = ServiceTier::new(0).expect("in range");
/// let routine = ServiceTier::new(4).expect("in range");
/// assert!(urgent.is_above(routine));
/// assert!(ServiceTier::new(5).is_none());
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct ServiceTier(u8);

impl ServiceTier {
    /// Number of tiers.
    pub const COUNT: usize = 5;

    /// Returns the tier with this number, or `None` if it is not below [`Self::COUNT`].
    #[must_use]
    pub fn new(number: u8) -> Option<Self> {
        (usize::from(number) < Self::COUNT).then_some(Self(number))
    }

    /// Returns the tier's number, usable as an index.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns whether this tier is more urgent than `other`.
    #[must_use]
    pub fn is_above(self, other: Self) -> bool {
        self.0 < other.0
    }
}

impl TryFrom<u8> for ServiceTier {
    type Error = String;

    fn try_from(number: u8) -> Result<Self, String> {
        Self::new(number).ok_or_else(|| format!("tier {number} is not below {}", Self::COUNT))
    }
}

impl From<ServiceTier> for u8 {
    fn from(tier: ServiceTier) -> Self {
        tier.0
    }
}

impl fmt::Display for ServiceTier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for ServiceTier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "tier{}", self.0)
    }
}
