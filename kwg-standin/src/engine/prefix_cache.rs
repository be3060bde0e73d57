use std::collections::VecDeque;

/// Bytes of a prompt that count as its prefix.
const PREFIX_BYTES: usize = 64;

/// The prompt prefixes that an engine has computed, the latest used last.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: usize,
    prefixes: VecDeque<Vec<u8>>,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> Self {
        Self { limit, prefixes: VecDeque::new() }
    }

    /// Uses the prefix of a prompt; how many of its bytes were cached.
    pub(super) fn touch(&mut self, prompt: &[u8]) -> usize {
        let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
        let place = self.prefixes.iter().position(|known| known == prefix);
        let cached = place.and_then(|place| self.prefixes.remove(place));
        self.prefixes.push_back(prefix.to_vec());
        if self.prefixes.len() > self.limit {
            self.prefixes.pop_front();
        }
        cached.map_or(0, |prefix| prefix.len())
    }
}
