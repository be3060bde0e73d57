/// Pseudorandom numbers in [0, 1) derived from a first one, so that a decision stays a function of
/// its inputs.
pub(super) struct DrawSequence(pub(super) f64);

impl DrawSequence {
    /// The next number.
    pub(super) fn next(&mut self) -> f64 {
        self.0 = (self.0 * 9_301.0 + 0.497_1).fract();
        self.0
    }
}
