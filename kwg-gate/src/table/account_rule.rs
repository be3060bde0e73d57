use crate::{AccountLabel, RegionBound, TokenCount};

/// A client account with its rank and quota.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountRule {
    /// Name of the account, which is passed on to targets.
    pub label: AccountLabel,
    /// Rank of its requests, which takes precedence over the route's; 0 is the most urgent.
    pub rank: Option<u32>,
    /// Quota over all instances.
    pub quota: Option<QuotaRule>,
    /// Regions in which its requests may run.
    pub regions: RegionBound,
}

/// A quota as a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRule {
    /// Units that are refilled per second.
    pub rate_per_s: f64,
    /// Capacity of the bucket, in units.
    pub burst: f64,
    /// Whether a unit is a model token; otherwise it is a request.
    pub counts_tokens: bool,
    /// Units charged for a request without a token count, if the unit is a model token.
    pub default_tokens: u64,
}

impl QuotaRule {
    /// Units that a request is charged.
    pub(crate) fn units(&self, tokens: Option<TokenCount>) -> u64 {
        match (self.counts_tokens, tokens) {
            (true, Some(tokens)) => tokens.prompt + tokens.output,
            (true, None) => self.default_tokens,
            (false, _) => 1,
        }
    }
}
