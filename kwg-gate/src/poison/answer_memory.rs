use kwg_model::MonoTime;

/// Number of answers that are remembered; at the planned size an instance answers 23 requests a second.
const SLOTS: usize = 4_096;

/// When something was last answered, by its code: a content, or a run of a target. Another code with the same slot
/// replaces one.
#[derive(Debug, Clone)]
pub(crate) struct AnswerMemory {
    slots: Vec<(u64, MonoTime)>,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self { slots: vec![(0, MonoTime::ZERO); SLOTS] }
    }
}

impl AnswerMemory {
    /// Records an answer.
    pub(crate) fn record(&mut self, code: u64, at: MonoTime) {
        self.slots[Self::slot(code)] = (code, at);
    }

    /// When the last answer was recorded, as far as that is remembered.
    pub(crate) fn last(&self, code: u64) -> Option<MonoTime> {
        let (known, at) = self.slots[Self::slot(code)];
        (known == code && at > MonoTime::ZERO).then_some(at)
    }

    fn slot(code: u64) -> usize {
        code as usize % SLOTS
    }
}
