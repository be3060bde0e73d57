use std::fmt;

/// Maximum length of one event, in bytes; events of tokens are far shorter.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Splits an event stream at blank lines and tracks the id of the last complete event. Lines end in
/// LF, CR LF or CR.
#[derive(Debug, Clone, Default)]
pub(crate) struct EventSplitter {
    pending: Vec<u8>,
    /// Number of bytes at the start of `pending` that have been searched.
    searched: usize,
    /// Whether the bytes before `searched` end in a line end, so that another one ends the event.
    at_line_start: bool,
    last_id: Option<String>,
    count: u64,
}

/// An event is longer than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event of more than {MAX_EVENT_BYTES} bytes")
    }
}

impl EventSplitter {
    /// Appends bytes and returns all complete events, and comments between them; an incomplete one
    /// stays buffered.
    ///
    /// # Errors
    /// [`EventTooLong`] if the incomplete event exceeds the limit.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        while let Some((line_end, length)) = self.next_line_end() {
            let is_blank = self.at_line_start && line_end == self.searched;
            self.searched = line_end + length;
            self.at_line_start = !is_blank;
            if is_blank {
                self.count += u64::from(has_field(&self.pending[end..self.searched]));
                end = self.searched;
            }
        }
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        self.searched -= end;
        for line in whole.split(is_line_end) {
            if let Some(id) = line.strip_prefix(b"id:") {
                self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
            }
        }
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(whole),
        }
    }

    /// Position and length of the next line end. A CR at the end of the buffer may belong to a CR LF
    /// and is left for later. Bytes without a line end are not searched again.
    fn next_line_end(&mut self) -> Option<(usize, usize)> {
        let rest = &self.pending[self.searched..];
        let Some(at) = rest.iter().position(is_line_end) else {
            self.at_line_start &= rest.is_empty();
            self.searched = self.pending.len();
            return None;
        };
        let length = match (rest[at], rest.get(at + 1)) {
            (b'\n', _) => 1,
            (_, Some(b'\n')) => 2,
            (_, Some(_)) => 1,
            (_, None) => {
                self.at_line_start &= at == 0;
                self.searched += at;
                return None;
            }
        };
        Some((self.searched + at, length))
    }

    /// Whether the bytes so far end within an event, also if none follow. A CR that has been left for
    /// later ends the event then. A whole comment is no event.
    pub(crate) fn is_within_event(&self) -> bool {
        let is_within_line = self.pending.last().is_some_and(|byte| !is_line_end(byte));
        (has_field(&self.pending) || is_within_line)
            && !(self.at_line_start && self.pending[self.searched..] == *b"\r")
    }

    /// Takes the buffered bytes of an incomplete event, which the end of the answer completes.
    pub(crate) fn take_rest(&mut self) -> Vec<u8> {
        (self.searched, self.at_line_start) = (0, false);
        std::mem::take(&mut self.pending)
    }

    /// Drops an incomplete event, which the next attempt sends again.
    pub(crate) fn drop_rest(&mut self) {
        drop(self.take_rest());
    }

    /// The id of the last complete event that had one.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// The number of complete events. Comments alone are none.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Whether an event has a line besides comments.
fn has_field(event: &[u8]) -> bool {
    let mut lines = event.split(is_line_end);
    lines.any(|line| line.first().is_some_and(|first| *first != b':'))
}

#[cfg(test)]
#[path = "../../tests/unit/event_splitter.rs"]
mod tests;
