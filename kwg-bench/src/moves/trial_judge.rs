use kwg_decide::{JudgeOptions, JudgeVerdict, SampleBatch, VersionJudge};
use kwg_model::RouteName;

/// Judge of a simulated move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum JudgeKind {
    /// The sequential canary judge under test (`kwg_decide::VersionJudge`).
    Sequential,
    /// Baseline that compares the canary's share of failures with a fixed threshold.
    Threshold,
    /// Baseline that accepts every version.
    None,
}

/// Share of failed canary requests above which the threshold judge calls a version bad.
const THRESHOLD: f64 = 0.05;
/// Number of canary requests that the threshold judge needs for a verdict.
const MIN_SAMPLES: u64 = 20;

/// State of a judge during one move.
#[derive(Debug)]
pub(super) enum TrialJudge {
    Sequential(Box<VersionJudge>),
    Threshold(SampleBatch),
    None,
}

impl TrialJudge {
    pub(super) fn new(kind: JudgeKind, routes: usize) -> Self {
        match kind {
            JudgeKind::Sequential => {
                Self::Sequential(Box::new(VersionJudge::new(JudgeOptions::default(), routes)))
            }
            JudgeKind::Threshold => Self::Threshold(SampleBatch::default()),
            JudgeKind::None => Self::None,
        }
    }

    /// Adds samples of a route from its old and new version. `is_canary` tells whether the move is
    /// in its canary phase, outside of which the threshold judge ignores samples.
    pub(super) fn add(
        &mut self,
        route: &RouteName,
        old: &SampleBatch,
        new: &SampleBatch,
        is_canary: bool,
    ) {
        match self {
            Self::Sequential(judge) => {
                judge.add_old(route, old);
                if new.count > 0 {
                    judge.add_new(route, new);
                }
            }
            Self::Threshold(samples) if is_canary => samples.add(new),
            Self::Threshold(_) | Self::None => {}
        }
    }

    pub(super) fn verdict(&self) -> JudgeVerdict {
        let good = || JudgeVerdict::Good("by assumption".to_owned());
        match self {
            Self::Sequential(judge) => judge.verdict(),
            Self::Threshold(samples) if samples.count < MIN_SAMPLES => JudgeVerdict::Undecided,
            Self::Threshold(samples)
                if samples.failures as f64 > THRESHOLD * samples.count as f64 =>
            {
                JudgeVerdict::Bad("above the threshold".to_owned())
            }
            Self::Threshold(_) | Self::None => good(),
        }
    }
}
