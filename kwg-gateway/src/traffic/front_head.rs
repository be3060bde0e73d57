use kwg_adapter::CallerFault;
use kwg_h1::RequestHead;

/// Maximum number of header fields, as the parser takes them.
const MAX_FIELDS: usize = 64;

/// Looks for the end of a head in the bytes received so far, each of which it looks at once: a head that
/// comes byte by byte costs no more than one that comes whole.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    /// Number of bytes that have been looked at.
    seen: usize,
    /// Number of line ends among them.
    lines: usize,
}

impl HeadScanner {
    /// The head and its length, once the bytes hold it whole. Each call gets the bytes of the one before
    /// and more.
    ///
    /// # Errors
    /// The fault of a head that is malformed, too long or has too many fields, as soon as it shows.
    pub(crate) fn find(
        &mut self,
        bytes: &[u8],
        max_bytes: usize,
    ) -> Result<Option<(RequestHead, usize)>, CallerFault> {
        let mut is_end = false;
        while self.seen < bytes.len().min(max_bytes) && !is_end {
            let at = self.seen;
            self.seen += 1;
            if bytes[at] != b'\n' {
                // A space after a line end folds the field before it.
                let is_folded =
                    at > 0 && bytes[at - 1] == b'\n' && matches!(bytes[at], b' ' | b'\t');
                if is_folded {
                    return Err(CallerFault::Malformed);
                }
                continue;
            }
            if at == 0 || bytes[at - 1] != b'\r' {
                return Err(CallerFault::Malformed);
            }
            self.lines += 1;
            is_end = bytes[..=at].ends_with(b"\r\n\r\n");
            // The request line and the empty line are no fields.
            if self.lines > MAX_FIELDS + 2 {
                return Err(CallerFault::Malformed);
            }
        }
        match is_end || bytes.len() >= max_bytes {
            true => Ok(RequestHead::parse(bytes, max_bytes)?),
            false => Ok(None),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/front_head.rs"]
mod tests;
