use std::time::Duration;

use kwg_model::MonoTime;

use super::{Admitted, Dispatched, GateSession, HandingOver, Placed};
use crate::{AccountLabel, RegionBound, RequestKind, ServiceName, TargetKey};

/// Implements the accessors of the route plan for a state of an admitted request.
macro_rules! plan_accessors {
    ($state:ty) => {
        impl GateSession<$state> {
            /// Name of the route.
            #[must_use]
            pub fn route(&self) -> &str {
                &self.state.plan.route
            }

            /// Version of the route table that was applied.
            #[must_use]
            pub fn table_version(&self) -> u64 {
                self.state.plan.table_version
            }

            /// The service that was selected for the request.
            #[must_use]
            pub fn service(&self) -> &ServiceName {
                &self.state.plan.service
            }

            /// The request's kind, which decides whether it may be retried.
            #[must_use]
            pub fn kind(&self) -> RequestKind {
                self.state.plan.kind
            }

            /// The account that is charged.
            #[must_use]
            pub fn account(&self) -> Option<&AccountLabel> {
                self.state.plan.account.as_ref()
            }

            /// The regions in which the request may run, by the table that was applied.
            #[must_use]
            pub fn regions(&self) -> &RegionBound {
                &self.state.plan.regions
            }

            /// Rank in the wait queue; 0 is the most urgent.
            #[must_use]
            pub fn rank(&self) -> u32 {
                self.state.plan.rank
            }

            /// When the final answer is due.
            #[must_use]
            pub fn due(&self) -> MonoTime {
                self.state.plan.due
            }

            /// The targets of earlier attempts.
            #[must_use]
            pub fn tried(&self) -> &[TargetKey] {
                &self.state.plan.tried
            }

            /// Target time to the first event of a stream, or to the complete answer; later ones
            /// count as late.
            #[must_use]
            pub fn target_latency(&self) -> Duration {
                self.state.plan.target_latency
            }

            /// Tokens per event of the stream.
            #[must_use]
            pub fn tokens_per_event(&self) -> f64 {
                self.state.plan.tokens_per_event
            }
        }
    };
}

plan_accessors!(Admitted);
plan_accessors!(Placed);
plan_accessors!(Dispatched);
plan_accessors!(HandingOver);
