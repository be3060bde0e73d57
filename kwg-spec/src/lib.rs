//! Model checker for the core protocols.
//!
//! It drives the production decision types through every interleaving of messages, pauses,
//! crashes and hand-overs within a budget, and checks invariants in each state. Besides the
//! protocols as implemented it explores deliberately broken variants, and a violation must be
//! found in each, which shows that the invariants can fail.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod answer_model;
mod event_budget;
mod explore;
mod lease_model;
mod model_message;
mod model_router;
mod ticket_model;
mod ticket_variant;

pub use answer_model::{AnswerModel, AnswerVariant};
pub use event_budget::EventBudget;
pub use explore::{Exploration, ModelState, explore, find_violation};
pub use lease_model::{LeaseModel, LeaseVariant};
pub use ticket_model::TicketModel;
pub use ticket_variant::TicketVariant;
