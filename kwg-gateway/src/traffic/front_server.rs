use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;

use super::front_connection::FrontConnection;
use super::traffic_state::TrafficState;
use crate::socket::accept_each;

/// Accepts callers' connections.
#[derive(Debug)]
pub(crate) struct FrontServer {
    pub(crate) state: Rc<TrafficState>,
    pub(crate) listener: Async<TcpListener>,
}

impl FrontServer {
    /// Serves each connection in its own task. A connection over the limit is closed at once.
    pub(crate) async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        let state = self.state;
        accept_each(self.listener, |stream| {
            if state.open_connections.get() < state.max_connections {
                executor.spawn(FrontConnection::new(&state).serve(stream)).detach();
            } else {
                log::warn!("event=connection-refused reason=too-many");
            }
        })
        .await;
    }
}
