use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};

/// Pause after a connection could not be accepted, most likely for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Hands every accepted connection to `handle`, for ever.
pub(crate) async fn accept_each(
    listener: Async<TcpListener>,
    mut handle: impl FnMut(Async<TcpStream>),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle(stream),
            Err(error) => {
                log::warn!("event=accept-failed error=\"{error}\"");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}
