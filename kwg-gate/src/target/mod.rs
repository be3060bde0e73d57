//! The assumed state of each target, and the choice of the target for a request.

mod cost_terms;
mod departed_targets;
mod draw_sequence;
mod evacuated_domains;
mod explain_query;
mod explained_target;
mod explanation;
mod learned_mean;
mod load_curve;
mod pause_risk;
mod placement;
mod pooled_mean;
mod slot_share;
mod speed_reading;
mod target_capacity;
mod target_health;
mod target_speed;
mod target_standing;
mod target_state;
mod target_tracker;

pub use cost_terms::CostTerms;
pub use evacuated_domains::EvacuatedDomains;
pub use explain_query::ExplainQuery;
pub use explained_target::ExplainedTarget;
pub use explanation::Explanation;
pub use placement::{Placement, PlacementDecision, PlacementQuery, VersionFilter};
pub use speed_reading::SpeedReading;
pub use target_standing::{LONGEST_PAUSE, StandingSource, StandingState, TargetWord};
pub use target_state::AttemptSample;
pub use target_tracker::{TargetKey, TargetTracker};
