//! The assumed state of each target, and the choice of the target for a request.

mod departed_targets;
mod draw_sequence;
mod evacuated_domains;
mod learned_mean;
mod placement;
mod slot_share;
mod target_health;
mod target_standing;
mod target_state;
mod target_tracker;

pub use evacuated_domains::EvacuatedDomains;
pub use placement::{Placement, PlacementDecision, PlacementQuery, VersionFilter};
pub use target_standing::{LONGEST_PAUSE, StandingSource, StandingState, TargetWord};
pub use target_state::AttemptSample;
pub use target_tracker::{TargetKey, TargetTracker};
