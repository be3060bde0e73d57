//! The filters of the request path.
//!
//! Each consumes the output of the previous stage and produces the input of the next. Filters do
//! not depend on each other; the traffic core connects them.

mod admit_filter;
mod claim_filter;
mod flow_context;
mod flow_pipe;
mod place_filter;
mod queue_filter;
mod recover_filter;
mod relay_filter;
mod relay_step;

pub(crate) use admit_filter::AdmitFilter;
pub(crate) use claim_filter::{ClaimFilter, ClaimStep, RevokeRequest, RevokeStep};
pub(crate) use flow_context::FlowContext;
pub(crate) use flow_pipe::FlowPipe;
pub(crate) use place_filter::PlaceFilter;
pub(crate) use queue_filter::QueueFilter;
pub(crate) use recover_filter::RecoverFilter;
pub(crate) use relay_filter::RelayFilter;
pub(crate) use relay_step::RelayStep;
