use blake3::Hasher;

/// Hashes what makes requests equal: method, host without the port, path and query, caller and
/// body. All instances and releases
/// compute the same value, under which they share which targets have ended while they ran such a request.
#[derive(Debug)]
pub(crate) struct ContentHash(Hasher);

/// Who sends a request: the account that holds its key, since keys are replaced, or else the key itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ContentCaller<'a> {
    Account(&'a str),
    Key(&'a str),
    Anonymous,
}

impl ContentHash {
    /// The hash of a request.
    pub(crate) fn of(
        method: &str,
        host: &str,
        target: &str,
        caller: ContentCaller<'_>,
        body: &[u8],
    ) -> u64 {
        let (kind, caller) = match caller {
            ContentCaller::Account(label) => ("account", label),
            ContentCaller::Key(key) => ("key", key),
            ContentCaller::Anonymous => ("", ""),
        };
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let mut hash = Self(Hasher::new());
        hash.add(method.as_bytes());
        hash.add(host.to_ascii_lowercase().as_bytes());
        hash.add(target.as_bytes());
        hash.add(kind.as_bytes());
        hash.add(caller.as_bytes());
        hash.add(body);
        let [a, b, c, d, e, f, g, h, ..] = *hash.0.finalize().as_bytes();
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }

    /// Adds a part with its length, so that parts cannot run into each other.
    fn add(&mut self, part: &[u8]) {
        self.0.update(&(part.len() as u64).to_le_bytes());
        self.0.update(part);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/content_hash.rs"]
mod tests;
