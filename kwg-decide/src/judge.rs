//! Tells a bad version from a good one while both serve, with bounded false alarms.

mod bet_test;
mod judge_options;
mod quantile_tracker;
mod sample_batch;
mod version_judge;

pub use bet_test::BetTest;
pub use judge_options::JudgeOptions;
pub use quantile_tracker::QuantileTracker;
pub use sample_batch::{SampleBatch, SampleKey};
pub use version_judge::{JudgeVerdict, VersionJudge};
