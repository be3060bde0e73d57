/// How an attempt ended, as far as it says something about the version of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerOutcome {
    /// A complete good answer.
    Delivered {
        /// Its [`pace`](crate::AttemptSample::pace_ms), in milliseconds.
        pace_ms: f64,
    },
    /// No complete good answer: the target failed, the time was over, or the caller gave up. The
    /// slowest answers of a slow version end like this, so both versions' are counted.
    Undelivered,
}
