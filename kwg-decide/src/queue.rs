//! Where requests wait: strict order of tiers, fair shares of client accounts inside a tier.

mod account_lane;
mod tier_queue;

pub use tier_queue::{QueueEntry, QueueKey, QueueOptions, QueueVerdict, TierQueue};
