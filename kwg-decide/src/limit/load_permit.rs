use super::LoadGauge;

/// Work counted as in flight by a [`LoadGauge`]; dropping the permit releases it.
#[derive(Debug)]
pub struct LoadPermit {
    gauge: LoadGauge,
    tokens: u64,
}

impl LoadPermit {
    pub(super) fn new(gauge: LoadGauge, tokens: u64) -> Self {
        Self { gauge, tokens }
    }
}

impl Drop for LoadPermit {
    fn drop(&mut self) {
        self.gauge.release(self.tokens);
    }
}
