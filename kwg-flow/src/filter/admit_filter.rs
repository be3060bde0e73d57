use std::time::Duration;

use kwg_model::{CallSubmission, PoolName, ServiceTier};
use snafu::OptionExt;

use super::FlowContext;
use crate::CallRejection;
use crate::request::UnknownRouteSnafu;

/// Rejects submissions with an unknown route or too high a cost; determines the pool, tier and
/// deadline of the others.
#[derive(Debug)]
pub(crate) struct AdmitFilter;

/// Terms on which a submission is accepted.
#[derive(Debug)]
pub(crate) struct AdmitTerms {
    pub(crate) pool: PoolName,
    pub(crate) tier: ServiceTier,
    /// Time from the request's arrival to its deadline.
    pub(crate) time_limit: Duration,
}

impl AdmitFilter {
    /// Determines the terms of a submission before any state is created for it.
    ///
    /// # Errors
    /// [`CallRejection::UnknownRoute`] or [`CallRejection::TooLarge`].
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
        // A submission may specify a less urgent tier than its route's, but not a more urgent one.
        let tier = submission.tier.map_or(route.tier, |tier| tier.max(route.tier));
        let longest = route.deadline();
        let time_limit = submission.deadline.map_or(longest, |limit| limit.min(longest));
        Ok(AdmitTerms { pool: route.pool.clone(), tier, time_limit })
    }
}
