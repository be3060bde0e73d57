use std::time::Duration;

use kwg_model::{CallSubmission, PoolName, ServiceTier};
use snafu::OptionExt;

use super::FlowContext;
use crate::CallRejection;
use crate::request::UnknownRouteSnafu;

/// Decides whether a submission is accepted, and on which terms.
#[derive(Debug)]
pub(crate) struct AdmitFilter;

/// Terms on which a submission is accepted.
#[derive(Debug)]
pub(crate) struct AdmitTerms {
    pub(crate) pool: PoolName,
    pub(crate) tier: ServiceTier,
    pub(crate) wait: Duration,
}

impl AdmitFilter {
    /// Determines the pool, tier and deadline of a submission before any state is created for it.
    pub(crate) fn apply(
        context: &FlowContext<'_>,
        submission: &CallSubmission,
    ) -> Result<AdmitTerms, CallRejection> {
        let tables = &context.fleet.tables;
        let name = &submission.route;
        let route = tables.routes.get(name).context(UnknownRouteSnafu { route: name.clone() })?;
        let (cost, limit) = (submission.cost_tokens(), context.options.queue.max_tokens);
        if cost > limit {
            return Err(CallRejection::TooLarge { cost, limit });
        }
        // A caller may ask for a lower tier than its route's, but not for a higher one.
        let tier = submission.tier.map_or(route.tier, |tier| tier.max(route.tier));
        let longest = route.deadline();
        let wait = submission.deadline.map_or(longest, |wait| wait.min(longest));
        Ok(AdmitTerms { pool: route.pool.clone(), tier, wait })
    }
}
