//! The life cycle of a request as a typestate: each filter changes the session's type.

mod attempt_permit;
mod final_word;
mod gate_session;
mod place_step;
mod request_facts;
mod route_plan;

pub use attempt_permit::{AttemptEvidence, AttemptPermit, AttemptVerdict, OpenAttempt};
pub use final_word::{FinalWord, RefusalReason, UnknownReason};
pub use gate_session::{
    Admitted, Dispatched, GateSession, PlaceOutcome, Placed, Received, SessionStep,
};
pub(crate) use place_step::PlaceStep;
pub use request_facts::{RequestFacts, TokenCount};
pub(crate) use route_plan::RoutePlan;
