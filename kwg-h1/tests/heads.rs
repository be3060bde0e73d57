//! Ambiguous heads are rejected, and truncated bodies are not mistaken for complete ones.

use kwg_h1::{BodyDecoder, BodyFraming, HeadError, HeadWriter, ReplyHead, RequestHead};
use quickcheck::quickcheck;

fn parse(head: &str) -> Result<Option<(RequestHead, usize)>, HeadError> {
    RequestHead::parse(head.as_bytes(), 16_384)
}

#[test]
fn ambiguous_lengths_are_rejected() {
    let both =
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    let two = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n";
    let signed = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\n";
    let list = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\n";
    for head in [both, two, signed, list] {
        assert_eq!(parse(head), Err(HeadError::AmbiguousLength), "{head}");
    }
    let coding = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n";
    assert_eq!(parse(coding), Err(HeadError::UnsupportedCoding));
}

#[test]
fn malformed_heads_are_rejected() {
    let folded = "GET /a HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n";
    let bare = "GET /a HTTP/1.1\nHost: x\n\n";
    let spaced = "GET /a HTTP/1.1\r\nHost : x\r\n\r\n";
    let hostless = "GET /a HTTP/1.1\r\nA: x\r\n\r\n";
    let hosts = "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n";
    for head in [folded, bare, spaced, hostless, hosts] {
        assert_eq!(parse(head), Err(HeadError::Malformed), "{head}");
    }
    let long = format!("GET /a HTTP/1.1\r\nHost: x\r\nA: {}\r\n\r\n", "b".repeat(20_000));
    assert_eq!(parse(&long), Err(HeadError::TooLarge));
}

#[test]
fn reply_heads_determine_the_body_framing() {
    let head = |text: &str| ReplyHead::parse(text.as_bytes()).expect("valid").expect("complete").0;
    let counted = head("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=7\r\n\r\n");
    assert_eq!((counted.framing, counted.keeps_alive), (BodyFraming::Length(3), true));
    assert_eq!(counted.idle_timeout(), Some(std::time::Duration::from_secs(7)));
    let open = head("HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!((open.framing, open.keeps_alive), (BodyFraming::UntilClose, false));
    assert!(ReplyHead::parse(b"garbage").is_err(), "not a reply");
    assert_eq!(ReplyHead::parse(b"HTTP/1.1 20"), Ok(None));
}

#[test]
fn a_status_out_of_range_is_rejected() {
    let parse = |status: &str| {
        let head = format!("HTTP/1.1 {status} x\r\nContent-Length: 3\r\n\r\n");
        ReplyHead::parse(head.as_bytes()).map(|parsed| parsed.expect("complete").0.status)
    };
    for status in ["000", "001", "099", "600", "999", "20", "2000", "+20", "20x"] {
        assert_eq!(parse(status), Err(HeadError::Malformed), "{status}");
    }
    for status in [100, 200, 599] {
        assert_eq!(parse(&status.to_string()), Ok(status));
    }
}

#[test]
fn a_field_name_with_a_blank_or_a_control_byte_is_rejected() {
    let parse = |name: &str| {
        let head = format!("HTTP/1.1 200 OK\r\nA: b\r\n{name}: c\r\nContent-Length: 3\r\n\r\n");
        ReplyHead::parse(head.as_bytes())
    };
    let invalid = (0..=b' ').chain([0x7f]).map(char::from);
    for byte in invalid {
        for name in [format!("X{byte}Name"), format!("{byte}X-Name"), format!("X-Name{byte}")] {
            assert_eq!(parse(&name), Err(HeadError::Malformed), "{name:?}");
        }
    }
    assert_eq!(parse(""), Err(HeadError::Malformed), "an empty name");
    assert!(matches!(parse("X-Name"), Ok(Some(_))));
}

#[test]
fn no_part_of_a_reply_head_is_a_whole_one() {
    for head in [
        "HTTP/1.1 200 OK\r\nX-Seal: a\r\nContent-Length: 1234\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
    ] {
        for length in 0..head.len() {
            let parsed = ReplyHead::parse(&head.as_bytes()[..length]);
            assert_eq!(parsed, Ok(None), "{:?}", &head[..length]);
        }
    }
}

#[test]
fn a_truncated_body_may_not_end() {
    for (framing, bytes) in
        [(BodyFraming::Length(9), &b"abc"[..]), (BodyFraming::Chunked, &b"9\r\nabc"[..])]
    {
        let mut decoder = BodyDecoder::new(framing);
        decoder.decode(bytes, &mut Vec::new()).expect("valid so far");
        assert!(!decoder.is_complete_at_close(), "{framing:?}");
    }
}

quickcheck! {
    fn chunked_bodies_are_decoded_whatever_the_split(chunks: Vec<Vec<u8>>, cuts: Vec<u8>) -> bool {
        let mut wire = Vec::new();
        chunks.iter().for_each(|chunk| kwg_h1::HeadWriter::write_chunk(chunk, &mut wire));
        wire.extend_from_slice(kwg_h1::HeadWriter::LAST_CHUNK);
        let (mut decoder, mut body, mut buffer) = (BodyDecoder::new(BodyFraming::Chunked), Vec::new(), Vec::new());
        let mut cuts = cuts.into_iter().cycle();
        for byte in wire {
            buffer.push(byte);
            if !cuts.next().unwrap_or(0).is_multiple_of(3) {
                let used = decoder.decode(&buffer, &mut body).expect("valid");
                buffer.drain(..used);
            }
        }
        decoder.decode(&buffer, &mut body).expect("valid");
        decoder.is_done() && body == chunks.concat()
    }
}

/// Guards against a name with a line break that ends a head, so that the rest is read as another request.
#[test]
fn no_field_ends_a_head_or_begins_another() {
    for value in ["i-1\r\n", "a\nb", "a\rb", "a\0b", "a\x7fb", "i-1\r\n\r\nPOST / HTTP/1.1"] {
        let mut writer = HeadWriter::request("GET", "/a");
        writer.field("X-Name", value);
        writer.field("X-Other", "sound");
        assert_eq!(writer.finish(), Err(HeadError::Malformed), "{value:?}");
        let mut writer = HeadWriter::reply(200);
        writer.field("X-Name", value);
        assert_eq!(writer.finish_with(b"body"), Err(HeadError::Malformed), "{value:?}");
    }
    for name in ["", "X Name", "X:Name", "X-Name\r\n", "X-N\u{e4}me"] {
        let mut writer = HeadWriter::reply(200);
        writer.field(name, "a");
        assert!(writer.finish().is_err(), "{name:?}");
    }
    for (method, target) in [("GET /b", "/a"), ("GET", "/a b"), ("GET", "/a\r\n"), ("GET", "")] {
        assert!(HeadWriter::request(method, target).finish().is_err(), "{method:?} {target:?}");
    }
    let mut writer = HeadWriter::reply(200);
    writer.field("X-Name", "a b\t\u{e4}");
    assert!(writer.finish().is_ok(), "header text");
}
