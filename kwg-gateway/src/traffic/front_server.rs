use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};

use super::front_connection::FrontConnection;
use super::traffic_hub::TrafficHub;

/// Pause after a connection could not be accepted, most likely for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers.
#[derive(Debug)]
pub(crate) struct FrontServer {
    pub(crate) hub: Rc<TrafficHub>,
    pub(crate) listener: Async<TcpListener>,
}

impl FrontServer {
    /// Serves callers, each connection in a task of its own.
    pub(crate) async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) if self.hub.open_connections.get() < self.hub.max_connections => {
                    executor.spawn(FrontConnection::new(&self.hub).serve(stream)).detach();
                }
                Ok(_) => log::warn!("event=connection-refused reason=too-many"),
                Err(error) => {
                    log::warn!("event=accept-failed error=\"{error}\"");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}
