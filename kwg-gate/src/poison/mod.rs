//! Requests that end the targets that run them, by their whole content or by a part of their prompt.
//!
//! Instances share the evidence, not counts: which run of a target ended under which suspect. Sets of such records
//! are merged by union, so that a record that arrives twice, late or by several ways changes nothing.

mod answer_memory;
mod end_feed;
mod end_id;
mod end_record;
mod end_timeline;
mod known_end;
mod packed_end;
mod refused_group;
mod review_result;
mod silent_run;
mod suspect_entry;
mod suspect_event;
mod suspect_key;
mod suspect_tracker;
mod target_run;
mod verdict_doubt;
mod verdict_review;

pub use end_feed::EndFeed;
pub use end_record::{EndKey, EndRecord};
pub use refused_group::RefusedGroup;
pub(crate) use silent_run::SilentRun;
pub use suspect_event::{EndSource, ReleaseCause, SuspectEvent};
pub use suspect_key::SuspectKey;
pub use suspect_tracker::{SeenEnd, SuspectTracker};
pub use target_run::TargetRun;
