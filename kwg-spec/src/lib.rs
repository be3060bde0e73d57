//! A small specification that drives the real decision types through every interleaving of
//! messages, pauses, crashes and hand-overs, and checks what must always hold.
//!
//! Beside the protocol as built stand broken variants; each must be caught, so that the check
//! is known to be able to fail.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod answer_world;
mod explore;
mod lease_world;
mod ticket_variant;
mod ticket_world;
mod world_budget;
mod world_message;
mod world_router;

pub use answer_world::{AnswerVariant, AnswerWorld};
pub use explore::{Exploration, SpecWorld, explore, find_violation};
pub use lease_world::{LeaseVariant, LeaseWorld};
pub use ticket_variant::TicketVariant;
pub use ticket_world::TicketWorld;
pub use world_budget::WorldBudget;
