//! Guards against heads that cost more the more slowly they come, and against a scanner that takes other
//! heads than the parser.

use kwg_adapter::CallerFault;
use kwg_h1::{HeadError, RequestHead};

use super::HeadScanner;

const MAX: usize = 2_000;

/// What the scanner finds when the bytes come in parts of `step` bytes.
fn find_in_parts(bytes: &[u8], step: usize) -> Result<Option<(RequestHead, usize)>, CallerFault> {
    let mut scanner = HeadScanner::default();
    let mut end = 0;
    while end < bytes.len() {
        end = (end + step).min(bytes.len());
        if let Some(found) = scanner.find(&bytes[..end], MAX)? {
            return Ok(Some(found));
        }
    }
    Ok(None)
}

#[test]
fn a_head_is_found_as_the_parser_finds_it_in_whatever_parts_it_comes() {
    let fields = |count: usize| "a: b\r\n".repeat(count);
    let heads = [
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\nrest of it".to_owned(),
        format!("GET /a HTTP/1.1\r\nHost: h\r\n{}\r\n", fields(63)),
        format!("GET /a HTTP/1.1\r\nHost: h\r\n{}\r\n", fields(64)),
        format!("GET /a HTTP/1.1\r\nHost: h\r\n{}\r\n", fields(200)),
        format!("GET /a HTTP/1.1\r\nHost: {}\r\n\r\n", "h".repeat(MAX)),
        "GET /a HTTP/1.1\nHost: h\r\n\r\n".to_owned(),
        "GET /a HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n".to_owned(),
        "\nGET /a HTTP/1.1\r\n\r\n".to_owned(),
        "GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n".to_owned(),
        "GET /a HTTP/1.1\r\nHost: h".to_owned(),
    ];
    for head in &heads {
        let whole = RequestHead::parse(head.as_bytes(), MAX).map_err(|error| match error {
            HeadError::TooLarge => CallerFault::HeadTooLarge,
            _ => CallerFault::Malformed,
        });
        for step in [1, 2, 3, 7, 4_000] {
            assert_eq!(find_in_parts(head.as_bytes(), step), whole, "{step}: {head:?}");
        }
    }
}

#[test]
fn too_many_fields_are_refused_before_the_head_ends() {
    let head = format!("GET /a HTTP/1.1\r\nHost: h\r\n{}", "a: b\r\n".repeat(70));
    assert_eq!(find_in_parts(head.as_bytes(), 100), Err(CallerFault::Malformed));
}
