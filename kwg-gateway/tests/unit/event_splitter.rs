use std::time::{Duration, Instant};

use super::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};

const EVENTS: [&str; 3] = ["id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "id: 3\rdata: c\r\r"];

#[test]
fn events_with_any_line_ends_are_split() {
    for event in EVENTS {
        let mut splitter = EventSplitter::default();
        let mut bytes = event.as_bytes().to_vec();
        // A CR that ends the buffer may be followed by LF, so the next event's first byte decides.
        bytes.push(b'd');
        let whole = splitter.push(&bytes).expect("short");
        assert_eq!(String::from_utf8_lossy(&whole), event);
        assert_eq!(splitter.count(), 1);
        assert!(splitter.last_id().is_some_and(|id| event.contains(id)));
    }
}

#[test]
fn the_split_does_not_depend_on_how_the_bytes_arrive() {
    let text: String = EVENTS.concat() + "data: rest";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut whole = Vec::new();
        for part in text.as_bytes().chunks(size) {
            whole.extend(splitter.push(part).expect("short"));
        }
        assert_eq!(String::from_utf8_lossy(&whole), EVENTS.concat(), "parts of {size} bytes");
        assert_eq!((splitter.count(), splitter.last_id()), (3, Some("3")));
        assert_eq!(splitter.take_rest(), b"data: rest");
    }
}

#[test]
fn a_blank_line_alone_ends_an_event_only_after_a_line() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"data: x").expect("short").is_empty());
    splitter.drop_rest();
    assert!(splitter.push(b"\ndata: y\n").expect("short").is_empty());
    assert_eq!(splitter.push(b"\n").expect("short"), b"\ndata: y\n\n");
}

#[test]
fn comments_alone_are_passed_on_and_count_as_no_event() {
    let mut splitter = EventSplitter::default();
    let text = b": still here\n\n:\r\n\r\nid: 1\n: why\n\n";
    assert_eq!(splitter.push(text).expect("short"), text);
    assert_eq!((splitter.count(), splitter.last_id()), (1, Some("1")));
}

#[test]
fn a_stream_without_a_blank_line_is_rejected_at_the_limit_in_linear_time() {
    let mut splitter = EventSplitter::default();
    let started = Instant::now();
    let mut pushed = 0;
    let result = loop {
        match splitter.push(b"x") {
            Ok(whole) => assert!(whole.is_empty()),
            Err(error) => break error,
        }
        pushed += 1;
        assert!(pushed <= MAX_EVENT_BYTES, "buffered without bound");
    };
    assert_eq!(result, EventTooLong);
    // Searching the whole buffer for each byte takes minutes.
    assert!(started.elapsed() < Duration::from_secs(5));
}

#[test]
fn only_the_end_of_an_event_is_not_within_it() {
    for event in EVENTS {
        for length in 1..event.len() {
            let mut splitter = EventSplitter::default();
            splitter.push(&event.as_bytes()[..length]).expect("short");
            // CR LF CR is a blank line if the stream ends there.
            let is_whole = event.starts_with("id: 2") && length + 1 == event.len();
            assert_eq!(splitter.is_within_event(), !is_whole, "{length} bytes of {event:?}");
        }
        let mut splitter = EventSplitter::default();
        splitter.push(event.as_bytes()).expect("short");
        assert!(!splitter.is_within_event(), "{event:?}");
        splitter.push(b"\n").expect("short");
        assert!(!splitter.is_within_event(), "{event:?} and an empty line");
    }
}

#[test]
fn a_whole_comment_at_the_end_is_no_event_that_was_broken_off() {
    for (text, is_within) in [
        (": ping\n", false),
        (": ping\r\n", false),
        (": pi", true),
        (": ping\ndata", true),
        ("\r", false),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(format!("id: 1\ndata: a\n\n{text}").as_bytes()).expect("short");
        assert_eq!(splitter.is_within_event(), is_within, "{text:?}");
    }
}
