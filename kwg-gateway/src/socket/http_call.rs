use std::io;

use kwg_h1::{BodyDecoder, ReplyHead};

use super::SocketReader;

/// Length of an incomplete reply body beyond which reading stops, in bytes.
const MAX_BODY: usize = 8 << 20;

/// Reads a complete reply.
///
/// # Errors
/// `UnexpectedEof` if the connection closes early, `FileTooLarge` if the body is incomplete beyond
/// the limit, `InvalidData` for a malformed reply, and errors of the socket.
pub(crate) async fn read_reply(reader: &mut SocketReader<'_>) -> io::Result<(ReplyHead, Vec<u8>)> {
    let head = loop {
        if let Some((head, used)) = ReplyHead::parse(reader.inbox()).map_err(invalid)? {
            reader.consume(used);
            break head;
        }
        if reader.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let (mut decoder, mut body) = (BodyDecoder::new(head.framing), Vec::new());
    loop {
        let used = decoder.decode(reader.inbox(), &mut body).map_err(invalid)?;
        reader.consume(used);
        if decoder.is_done() {
            return Ok((head, body));
        }
        if body.len() > MAX_BODY {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        if reader.fill().await? == 0 {
            return if decoder.is_complete_at_close() {
                Ok((head, body))
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

fn invalid(error: kwg_h1::HeadError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
