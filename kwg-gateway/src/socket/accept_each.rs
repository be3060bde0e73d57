use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};

/// Pause after `accept` failed, most likely because the process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections forever and passes each one to `handle`.
pub(crate) async fn accept_each(
    listener: &Async<TcpListener>,
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
