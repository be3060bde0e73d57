//! Guards against bodies that change on their way through the blocks, and against bodies that are kept
//! although they are not used or are over the limit.

use kwg_adapter::CallerFault;
use kwg_h1::BodyFraming;

use super::{BLOCK_BYTES, RequestBody};

/// Decodes bytes in parts of `step` bytes.
fn receive(body: &mut RequestBody, bytes: &[u8], step: usize) -> Result<(), CallerFault> {
    for part in bytes.chunks(step) {
        assert_eq!(body.decode(part)?, part.len());
    }
    Ok(())
}

#[test]
fn a_body_is_whole_in_whatever_parts_it_comes() {
    let text: Vec<u8> = (0..3 * BLOCK_BYTES + 17).map(|number| number as u8).collect();
    for step in [1, 100, BLOCK_BYTES, 16 << 10] {
        let framing = BodyFraming::Length(text.len() as u64);
        let mut body = RequestBody::begin(framing, 1 << 20, true).expect("within the limit");
        receive(&mut body, &text, step).expect("sound");
        assert!(body.is_done());
        assert!(body.buffer_bytes() < text.len() + 2 * BLOCK_BYTES);
        assert_eq!(body.into_bytes(), text);
    }
}

#[test]
fn a_body_that_is_not_used_takes_no_memory() {
    let framing = BodyFraming::Length(50_000);
    let mut body = RequestBody::begin(framing, 1 << 20, false).expect("within the limit");
    receive(&mut body, &[7; 50_000], 1_000).expect("sound");
    assert!(body.is_done());
    assert_eq!(body.buffer_bytes(), 0);
    assert!(body.into_bytes().is_empty());
}

#[test]
fn a_body_over_the_limit_is_refused_by_its_stated_length_or_when_it_is_reached() {
    let stated = RequestBody::begin(BodyFraming::Length(1_001), 1_000, true);
    assert_eq!(stated.expect_err("too long"), CallerFault::BodyTooLarge);
    for is_kept in [true, false] {
        let mut body = RequestBody::begin(BodyFraming::Chunked, 1_000, is_kept).expect("unknown");
        assert_eq!(body.decode(b"3e8\r\n"), Ok(5));
        assert_eq!(body.decode(&[b'a'; 1_000]), Ok(1_000));
        assert_eq!(body.decode(b"\r\n1\r\na"), Err(CallerFault::BodyTooLarge));
    }
}
