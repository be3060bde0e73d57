//! Request queue: strict priority between tiers, fair queueing of client accounts inside a tier.

mod account_queue;
mod tier_queue;

pub use tier_queue::{QueueEntry, QueueKey, QueueOptions, QueueVerdict, TierQueue};
