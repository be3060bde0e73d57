use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use http_types::{Request, Response, StatusCode};
use kwg_http::SocketStream;

/// Handles the HTTP requests that a stand-in receives.
pub trait RequestHandler: 'static {
    /// Handles one request, and returns `None` to close the connection without a response.
    /// `socket` is the connection's socket, which the handler may shut down.
    fn handle(
        self: Rc<Self>,
        request: Request,
        socket: SocketStream,
    ) -> impl Future<Output = Option<Response>> + 'static;
}

/// Serves a stand-in's requests over HTTP.
#[derive(Debug, Clone, Copy)]
pub struct HttpService;

impl HttpService {
    /// Accepts connections until accepting one fails, and serves each in a task of its own.
    ///
    /// # Errors
    /// The I/O error if the address cannot be bound or a connection cannot be accepted.
    pub async fn serve(
        address: SocketAddr,
        handler: Rc<impl RequestHandler>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<()> {
        let listener = Async::<TcpListener>::bind(address)?;
        loop {
            let (stream, _) = listener.accept().await?;
            let stream = SocketStream::accepted(stream);
            let handler = Rc::clone(&handler);
            let connection = async move {
                let endpoint = async |request| {
                    let response = Rc::clone(&handler).handle(request, stream.clone());
                    match response.await {
                        Some(response) => Ok(response),
                        None => {
                            stream.shutdown();
                            Err(http_types::Error::from_str(
                                StatusCode::Gone,
                                "the handler returned no response",
                            ))
                        }
                    }
                };
                drop(async_h1::accept(stream.clone(), endpoint).await);
            };
            executor.spawn(connection).detach();
        }
    }
}
