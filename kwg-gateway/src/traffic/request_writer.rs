use kwg_gate::AttemptEvidence;

use crate::socket::SocketWriter;

/// Writes what is left of one attempt's request, while its reply is being read.
#[derive(Debug)]
pub(crate) struct RequestWriter<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) writer: SocketWriter<'a>,
    pub(crate) request: &'a [u8],
    /// Number of bytes of the request that have been written.
    pub(crate) written: &'a mut usize,
}

impl RequestWriter<'_> {
    /// Writes the rest of the request, and then waits forever: the end of the attempt is decided by
    /// the reply, which a target may send before it has read the whole request. It can be cancelled
    /// and continued.
    ///
    /// # Errors
    /// `NotSent`, if not a byte of the request could be written.
    pub(crate) async fn write_rest<T>(self) -> Result<T, AttemptEvidence> {
        match self.writer.write_rest(self.request, self.written).await {
            Err(_) if *self.written == 0 => return Err(AttemptEvidence::NotSent),
            Err(error) => log::debug!("event=request-unread id={} error={error}", self.request_id),
            Ok(()) => {}
        }
        std::future::pending().await
    }
}
