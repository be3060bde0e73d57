use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of requests after which a connection is closed, which bounds what it remembers to 1 KiB and costs less
/// than one connection in a hundred requests.
const MAX_CARRIED: usize = 128;

/// The requests that a connection has carried. A reply names its request and not the run, so a target that sends
/// an earlier reply once more must not find the same request there again.
#[derive(Debug, Default)]
pub(crate) struct CarriedRequests(Vec<u64>);

impl CarriedRequests {
    /// Whether the connection has carried an attempt of the request.
    pub(crate) fn contains(&self, request_id: &str) -> bool {
        self.0.contains(&digest(request_id))
    }

    /// Records an attempt of the request.
    pub(crate) fn record(&mut self, request_id: &str) {
        self.0.push(digest(request_id));
    }

    /// Whether the connection must carry no further request.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_CARRIED
    }
}

/// Two ids with the same digest only cost a new connection.
fn digest(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}
