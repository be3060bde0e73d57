use std::io;

use kwg_h1::{BodyDecoder, BodyFraming, ReplyHead};

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
    let mut body = Vec::new();
    read_body(reader, head.framing, |part| {
        body.extend_from_slice(part);
        body.len() <= MAX_BODY
    })
    .await?;
    Ok((head, body))
}

/// Reads a body to its end and passes its parts to `accept`, which returns whether to go on.
///
/// # Errors
/// As [`read_reply`]; `FileTooLarge` if `accept` has returned false before the end.
async fn read_body(
    reader: &mut SocketReader<'_>,
    framing: BodyFraming,
    mut accept: impl FnMut(&[u8]) -> bool,
) -> io::Result<()> {
    let mut decoder = BodyDecoder::new(framing);
    let mut part = Vec::new();
    loop {
        part.clear();
        let used = decoder.decode(reader.inbox(), &mut part).map_err(invalid)?;
        reader.consume(used);
        let is_accepted = accept(&part);
        if decoder.is_done() {
            return Ok(());
        }
        if !is_accepted {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        if reader.fill().await? == 0 {
            return match decoder.is_complete_at_close() {
                true => Ok(()),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    }
}

/// Reads a body of at most `limit` bytes and drops it.
///
/// # Errors
/// As [`read_body`]; `FileTooLarge` beyond the limit.
pub(crate) async fn skip_body(
    reader: &mut SocketReader<'_>,
    framing: BodyFraming,
    limit: usize,
) -> io::Result<()> {
    let mut length = 0;
    read_body(reader, framing, |part| {
        length += part.len();
        length <= limit
    })
    .await
}

fn invalid(error: kwg_h1::HeadError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
