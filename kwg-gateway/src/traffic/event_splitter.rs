/// Splits an event stream at blank lines (LF LF) and tracks the id of the last complete event.
/// Streams whose lines end in CRLF are not split.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
    count: u64,
}

impl EventSplitter {
    /// Appends bytes and returns all complete events; an incomplete one stays buffered.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let end = match self.pending.windows(2).rposition(|two| two == b"\n\n") {
            Some(at) => at + 2,
            None => return Vec::new(),
        };
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        for line in whole.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
            }
        }
        self.count += whole.windows(2).filter(|two| two == b"\n\n").count() as u64;
        whole
    }

    /// Takes the buffered bytes of an incomplete event, which the end of the answer completes.
    pub(crate) fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Drops an incomplete event, which the next attempt sends again.
    pub(crate) fn drop_rest(&mut self) {
        self.pending.clear();
    }

    /// The id of the last complete event that had one.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// The number of complete events.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}
