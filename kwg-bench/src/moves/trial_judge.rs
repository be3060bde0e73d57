use kwg_decide::{JudgeOptions, JudgeVerdict, SampleBatch, VersionJudge};
use kwg_model::RouteName;

/// Who judges a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum JudgeKind {
    /// The judge of the product.
    Sequential,
    /// A baseline: a share of failures above a threshold, during the canary only.
    Threshold,
    /// A baseline: nobody.
    None,
}

/// Failed answers of the canary above which the threshold judge stops, as a share.
const THRESHOLD: f64 = 0.05;
/// Answers that it waits for.
const THRESHOLD_SAMPLES: u64 = 20;

/// One of the judges, for one move.
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
            Self::Threshold(seen) if is_canary => seen.add(new),
            Self::Threshold(_) | Self::None => {}
        }
    }

    pub(super) fn verdict(&self) -> JudgeVerdict {
        let good = || JudgeVerdict::Good("by assumption".to_owned());
        match self {
            Self::Sequential(judge) => judge.verdict(),
            Self::Threshold(seen) if seen.count < THRESHOLD_SAMPLES => JudgeVerdict::Open,
            Self::Threshold(seen) if seen.failures as f64 > THRESHOLD * seen.count as f64 => {
                JudgeVerdict::Bad("above the threshold".to_owned())
            }
            Self::Threshold(_) | Self::None => good(),
        }
    }
}
