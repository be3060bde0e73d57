use std::collections::VecDeque;

/// Length of the cached prefix of a prompt, in bytes.
const PREFIX_BYTES: usize = 64;

/// LRU cache of the prompt prefixes that an engine has prefilled, most recently used last.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<Vec<u8>>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, prefixes: VecDeque::new() }
    }

    /// Marks the prefix of a prompt as just used, and returns how many of its bytes were cached.
    pub(super) fn touch(&mut self, prompt: &[u8]) -> usize {
        let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
        let index = self.prefixes.iter().position(|cached| cached == prefix);
        let cached = index.and_then(|index| self.prefixes.remove(index));
        self.prefixes.push_back(prefix.to_vec());
        if self.prefixes.len() > self.capacity {
            self.prefixes.pop_front();
        }
        cached.map_or(0, |prefix| prefix.len())
    }
}
