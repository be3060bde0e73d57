//! Version moves: traffic shifts to a new version once it is proved good, or the move is rolled back.

mod answer_outcome;
mod move_decision;
mod move_evidence;
mod move_history;
mod move_options;
mod move_phase;
mod move_record;
mod move_report;
mod move_tracker;
mod open_answer;
mod pace_histogram;
mod past_move;
mod peer_counts;
mod report_source;
mod route_tally;
mod service_moves;
mod version_order;
mod version_tally;

pub use answer_outcome::AnswerOutcome;
pub use move_decision::MoveDecision;
pub use move_evidence::MoveEvidence;
pub use move_options::MoveOptions;
pub use move_phase::MovePhase;
pub use move_report::MoveReport;
pub use move_tracker::MoveTracker;
pub use open_answer::OpenAnswerKey;
pub use pace_histogram::PaceHistogram;
pub use past_move::PastMove;
pub use report_source::ReportSource;
pub use route_tally::RouteTally;
pub use version_order::VersionOrder;
pub use version_tally::VersionTally;
