//! Canary analysis: compares a new version with the old one while both serve, with a bounded
//! false alarm probability.

mod betting_test;
mod judge_options;
mod quantile_tracker;
mod sample_batch;
mod version_judge;

pub use betting_test::BettingTest;
pub use judge_options::JudgeOptions;
pub use quantile_tracker::QuantileTracker;
pub use sample_batch::{SampleBatch, SampleKey};
pub use version_judge::{JudgeVerdict, VersionJudge};
