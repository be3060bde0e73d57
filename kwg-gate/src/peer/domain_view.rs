use serde::{Deserialize, Serialize};

use crate::{DigestDelta, DomainListing};

/// What the relay of a large failure domain sends to each of the domain's other instances several
/// times a second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainView {
    /// Run and number of the recipient's last digest that the sum of its own domain includes.
    pub included: Option<(u64, u32)>,
    /// The sum of the own domain, and those of other domains that have arrived since the last view.
    pub sums: Vec<(String, DigestDelta)>,
    /// The domain's members, if they have changed.
    pub listing: Option<DomainListing>,
}
