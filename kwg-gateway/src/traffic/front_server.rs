use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;

use super::front_connection::FrontConnection;
use super::traffic_hub::TrafficHub;
use crate::socket::accept_each;

/// Accepts callers.
#[derive(Debug)]
pub(crate) struct FrontServer {
    pub(crate) hub: Rc<TrafficHub>,
    pub(crate) listener: Async<TcpListener>,
}

impl FrontServer {
    /// Serves callers, each connection in a task of its own.
    pub(crate) async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        let hub = self.hub;
        accept_each(self.listener, |stream| {
            if hub.open_connections.get() < hub.max_connections {
                executor.spawn(FrontConnection::new(&hub).serve(stream)).detach();
            } else {
                log::warn!("event=connection-refused reason=too-many");
            }
        })
        .await;
    }
}
