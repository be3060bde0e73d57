//! The life cycle of a request as a typestate: each filter changes the session's type.

mod attempt_end;
mod attempt_permit;
mod final_outcome;
mod gate_session;
mod placement_step;
mod prompt_part;
mod request_details;
mod reserved_target;
mod route_plan;

pub(crate) use attempt_end::AttemptEnd;
pub use attempt_permit::{
    AttemptEvidence, AttemptPermit, AttemptVerdict, OpenAttempt, SharedAttempt,
};
pub use final_outcome::{FinalOutcome, RefusalReason, UnknownReason};
pub use gate_session::{
    Admitted, Dispatched, GateSession, HandingOver, Placed, PlacementOutcome, Received, SessionStep,
};
pub(crate) use placement_step::PlacementStep;
pub use prompt_part::PromptPart;
pub use request_details::{RequestDetails, TokenCount};
pub use reserved_target::ReservedTarget;
pub(crate) use route_plan::RoutePlan;
