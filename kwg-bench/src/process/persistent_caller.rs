use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use http_types::{Method, StatusCode};
use kwg_clock::ClockHandle;
use kwg_front::FrontHeaders;
use kwg_http::{BodyReader, CallClient, SocketStream};
use kwg_standin::ReferenceAnswer;
use kwg_wire::{SseKind, SseParser};

/// A caller that reuses its connection and never resends a request, so that every request cut
/// off is counted.
#[derive(Debug)]
pub(super) struct PersistentCaller {
    key: String,
    connection: Option<(SocketAddr, SocketStream)>,
}

/// How a request of a persistent caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// The answer is complete and correct.
    Answered,
    /// A complete response with a status other than 200, or a `failed` event.
    Refused,
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection broke during the request, or the answer was wrong.
    CutOff,
}

impl PersistentCaller {
    pub(super) fn new(key: &str) -> Self {
        Self { key: key.to_owned(), connection: None }
    }

    /// Makes a request on the open connection, or on a new one to `router` if there is none.
    pub(super) async fn call(&mut self, router: SocketAddr, body: &str, tokens: u32) -> RequestEnd {
        let (address, stream) = match self.connection.take() {
            Some(connection) => connection,
            None => match Self::client(router).connect().await {
                Ok(stream) => (router, stream),
                Err(_) => return RequestEnd::NotSent,
            },
        };
        let client = Self::client(address);
        let mut request =
            client.request(Method::Post, "/v1/requests/patches").expect("a valid path");
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request.insert_header(FrontHeaders::MAX_TOKENS, tokens.to_string());
        request.set_body(body);
        let Ok(mut response) = client.open(stream.clone(), request).await else {
            return RequestEnd::CutOff;
        };
        let closes = response.header("connection").is_some_and(|value| value.as_str() == "close");
        let is_answer = response.status() == StatusCode::Ok;
        let end = if is_answer {
            read_answer(response, body, tokens).await
        } else {
            match BodyReader::read(response.take_body(), 1 << 20).await {
                Ok(_) => RequestEnd::Refused,
                Err(_) => RequestEnd::CutOff,
            }
        };
        if !closes && end != RequestEnd::CutOff {
            self.connection = Some((address, stream));
        }
        end
    }

    fn client(address: SocketAddr) -> CallClient {
        CallClient::new(address, Duration::from_secs(2), ClockHandle::system())
    }
}

/// Reads an answer to the end of its body and compares it with the reference answer.
async fn read_answer(mut response: http_types::Response, body: &str, tokens: u32) -> RequestEnd {
    let mut reader = response.take_body().into_reader();
    let (mut parser, mut text) = (SseParser::default(), Vec::new());
    let mut buffer = vec![0; 8 << 10];
    let mut ended = false;
    loop {
        match reader.read(&mut buffer).await {
            Ok(0) if ended => break,
            Ok(0) | Err(_) => return RequestEnd::CutOff,
            Ok(count) => parser.push(&buffer[..count]),
        }
        while let Ok(Some(event)) = parser.next_event() {
            match event.kind {
                SseKind::Part(chunk) => text.extend_from_slice(&chunk),
                SseKind::End => ended = true,
                SseKind::Failed(_) => return RequestEnd::Refused,
            }
        }
    }
    let is_whole = text == ReferenceAnswer::text(body.as_bytes(), tokens).as_bytes();
    if is_whole { RequestEnd::Answered } else { RequestEnd::CutOff }
}
