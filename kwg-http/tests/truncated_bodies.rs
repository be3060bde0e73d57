//! Truncated bodies and invalid heads are always reported as errors, including those that the HTTP library accepts.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use async_io::block_on;
use http_types::Method;
use kwg_clock::ClockHandle;
use kwg_http::{BodyError, CallClient, CallError, HttpReply};

/// Serves `reply` on one connection, then closes it.
fn serve_once(reply: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller connects");
        let mut buffer = [0; 1_024];
        let read = stream.read(&mut buffer).expect("a request comes");
        assert!(read > 0);
        stream.write_all(reply.as_bytes()).expect("the caller reads");
    });
    address
}

fn call(reply: &'static str) -> Result<HttpReply, CallError> {
    let client = CallClient::new(serve_once(reply), Duration::from_secs(5), ClockHandle::system());
    let request = client.request(Method::Get, "/").expect("a valid path");
    block_on(client.call(request))
}

#[test]
fn complete_bodies_are_read() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    let counted = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    for reply in [chunked, counted] {
        assert_eq!(call(reply).expect("whole").body, b"hello");
    }
}

#[test]
fn replies_without_a_body_are_read() {
    let counted = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    for reply in [counted, chunked, "HTTP/1.1 204 No Content\r\n\r\n"] {
        assert_eq!(call(reply).expect("whole").body, b"", "{reply:?}");
    }
}

#[test]
fn a_truncated_chunk_is_an_error() {
    let reply = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhello";
    assert!(matches!(call(reply), Err(CallError::Reply { .. })));
}

#[test]
fn a_chunked_body_without_its_last_chunk_is_an_error() {
    let reply = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    assert!(matches!(call(reply), Err(CallError::Reply { .. })));
}

/// The HTTP library returns such a body as if it were complete; only counting its bytes shows that
/// it is not.
#[test]
fn a_body_shorter_than_its_content_length_is_an_error() {
    let reply = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello";
    let error = call(reply).expect_err("4 bytes are missing");
    let cut = BodyError::Truncated { read: 5, length: 9 };
    assert!(
        matches!(
            error,
            CallError::Reply { source: BodyError::Truncated { read: 5, length: 9 }, .. }
        ),
        "{cut}"
    );
}

/// The HTTP library returns an empty body instead, as if it were complete.
#[test]
fn a_body_that_ends_with_its_connection_is_an_error() {
    for reply in [
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nhello",
        "HTTP/1.1 500 Internal Server Error\r\n\r\nhello",
    ] {
        let called = call(reply);
        assert!(
            matches!(called, Err(CallError::Reply { source: BodyError::NoLength, .. })),
            "{reply:?}: {called:?}"
        );
    }
}

#[test]
fn a_reply_that_is_reset_during_the_upload_is_an_error() {
    for reply in [
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    ] {
        let address = serve_once(reply);
        let client = CallClient::new(address, Duration::from_secs(5), ClockHandle::system());
        let mut request = client.request(Method::Post, "/").expect("a valid path");
        request.set_body(vec![b'b'; 32 << 20]);
        let called = block_on(client.call(request));
        assert!(matches!(called, Err(CallError::Exchange { .. })), "{reply:?}: {called:?}");
    }
}

#[test]
fn a_status_out_of_range_is_an_error() {
    for reply in [
        "HTTP/1.1 000 Unknown\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 099 Unknown\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 600 Unknown\r\ncontent-length: 5\r\n\r\nhello",
    ] {
        let called = call(reply);
        assert!(matches!(called, Err(CallError::Exchange { .. })), "{reply:?}: {called:?}");
    }
}

#[test]
fn an_invalid_field_name_is_an_error() {
    for reply in [
        "HTTP/1.1 200 OK\r\nx name: a\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nx-name : a\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nx\x01name: a\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length : 3\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ] {
        let called = call(reply);
        assert!(matches!(called, Err(CallError::Exchange { .. })), "{reply:?}: {called:?}");
    }
}
