/// Which part of a reply has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessReply {
    /// A field of the head.
    Head,
    /// Interim replies before the head.
    Interim,
    /// The body of an answer, in chunks.
    Body,
    /// The body of an answer that ends with its connection.
    UnframedBody,
    /// The body of an answer whose length is far beyond all memory.
    LongBody,
    /// A chunk size line.
    ChunkLine,
    /// The trailer of an answer.
    Trailer,
    /// An event of a stream.
    Event,
    /// Comments in a stream.
    Comment,
    /// The body of a reply that declines the request.
    DeclinedBody,
    /// The body of a failure.
    FailedBody,
    /// The body of a reply to another request.
    ForeignBody,
    /// Bytes that are no HTTP.
    Garbage,
}

impl EndlessReply {
    /// All of them.
    pub const ALL: [Self; 13] = [
        Self::Head,
        Self::Interim,
        Self::Body,
        Self::UnframedBody,
        Self::LongBody,
        Self::ChunkLine,
        Self::Trailer,
        Self::Event,
        Self::Comment,
        Self::DeclinedBody,
        Self::FailedBody,
        Self::ForeignBody,
        Self::Garbage,
    ];

    /// The bytes that start the reply to the request `id`, and those that follow again and again.
    pub(super) fn parts(self, id: &str) -> (String, &'static str) {
        let framed = |status: &str, id: &str, fields: &str| {
            format!(
                "HTTP/1.1 {status} x\r\nX-Knapweedglade-Request-Id: {id}\r\n\
                 X-Knapweedglade-Server-Seal: s\r\n{fields}\r\n"
            )
        };
        let head = |status: &str, id: &str, fields: &str| {
            framed(status, id, &format!("Transfer-Encoding: chunked\r\n{fields}"))
        };
        let chunk = "4\r\nabcd\r\n";
        match self {
            Self::Head => ("HTTP/1.1 200 OK\r\nX-Field: ".to_owned(), "abcd"),
            Self::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Self::Body | Self::Event => (head("200", id, ""), chunk),
            Self::UnframedBody => (framed("200", id, "Connection: close\r\n"), "abcd"),
            Self::LongBody => (framed("200", id, "Content-Length: 9000000000000000\r\n"), "abcd"),
            Self::Comment => (head("200", id, ""), "4\r\n:a\n\n\r\n"),
            Self::ChunkLine => (head("200", id, "") + "4;", "abcd"),
            Self::Trailer => (head("200", id, "") + "4\r\nabcd\r\n0\r\n", "X-Field: abcd\r\n"),
            Self::DeclinedBody => (head("503", id, "X-Knapweedglade-Not-Executed: 1\r\n"), chunk),
            Self::FailedBody => (head("500", id, ""), chunk),
            Self::ForeignBody => (head("200", "another", ""), chunk),
            Self::Garbage => (String::new(), "abcd"),
        }
    }
}
