use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use http_types::{Request, Response, StatusCode};
use kwg_http::SocketStream;

/// Answers the requests of a stand-in.
pub trait PageHandler: 'static {
    /// Answers one request; the socket is there to be cut. `None` cuts the connection.
    fn page(
        self: Rc<Self>,
        request: Request,
        socket: SocketStream,
    ) -> impl Future<Output = Option<Response>> + 'static;
}

/// Serves a stand-in over HTTP.
#[derive(Debug, Clone, Copy)]
pub struct HttpService;

impl HttpService {
    /// Accepts connections for ever.
    ///
    /// # Errors
    /// The system's error if the address cannot be listened on.
    pub async fn serve(
        address: SocketAddr,
        handler: Rc<impl PageHandler>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<()> {
        let listener = Async::<TcpListener>::bind(address)?;
        loop {
            let (stream, _) = listener.accept().await?;
            let stream = SocketStream::accepted(stream);
            let handler = Rc::clone(&handler);
            let connection = async move {
                let endpoint = async |request| {
                    let page = Rc::clone(&handler).page(request, stream.clone());
                    match page.await {
                        Some(response) => Ok(response),
                        None => {
                            stream.shutdown();
                            Err(http_types::Error::from_str(StatusCode::Gone, "cut"))
                        }
                    }
                };
                drop(async_h1::accept(stream.clone(), endpoint).await);
            };
            executor.spawn(connection).detach();
        }
    }
}
