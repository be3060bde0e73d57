/// Finds the ends of whole events in a stream, and the id of the last one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
    count: u64,
}

impl EventSplitter {
    /// Takes bytes and returns those that complete events; the rest waits for its end.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let end = match self.pending.windows(2).rposition(|two| two == b"\n\n") {
            Some(at) => at + 2,
            None => return Vec::new(),
        };
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        for event in whole.split(|byte| *byte == b'\n') {
            if let Some(id) = event.strip_prefix(b"id:") {
                self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
            }
        }
        self.count += whole.windows(2).filter(|two| two == b"\n\n").count() as u64;
        whole
    }

    /// Takes what is left: an unfinished event, which the end of its answer may complete.
    pub(crate) fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Drops an unfinished event, which another run will send again.
    pub(crate) fn drop_rest(&mut self) {
        self.pending.clear();
    }

    /// The id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// How many whole events there were.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}
