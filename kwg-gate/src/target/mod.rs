//! The assumed state of each target, and the choice of the target for a request.

mod cold_change;
mod cold_fleet;
mod cold_gate;
mod cold_notice;
mod cold_options;
mod cold_rule;
mod cold_view;
mod departed_targets;
mod draw_sequence;
mod learned_mean;
mod placement;
mod slot_share;
mod target_health;
mod target_standing;
mod target_state;
mod target_tracker;

pub use cold_change::ColdChange;
pub use cold_notice::ColdNotice;
pub use cold_options::ColdOptions;
pub use cold_rule::ColdRule;
pub(crate) use cold_view::ColdView;
pub use placement::{Placement, PlacementDecision, PlacementQuery, VersionFilter};
pub use target_standing::{LONGEST_PAUSE, StandingSource, StandingState, TargetWord};
pub use target_state::AttemptSample;
pub use target_tracker::{TargetKey, TargetTracker};
