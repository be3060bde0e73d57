use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use kwg_adapter::{CallerCodec, CallerFault};

use super::front_connection::FrontConnection;
use super::traffic_state::TrafficState;
use crate::socket::CallerListener;

/// Accepts callers' connections.
#[derive(Debug)]
pub(crate) struct FrontServer {
    pub(crate) state: Rc<TrafficState>,
    pub(crate) listener: Async<TcpListener>,
}

impl FrontServer {
    /// Serves each connection in its own task until the instance closes idle connections. Those that
    /// are in the accept queue then are still served, since their callers may have sent a request;
    /// the kernel refuses later ones. A connection for which no other can be closed gets a refusal.
    pub(crate) async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        let Self { state, listener } = self;
        let listener = CallerListener::new(listener, &state.callers, &state.clock);
        loop {
            let stopped = async {
                state.wait_close_idle().await;
                None
            };
            match async { Some(listener.accept().await) }.or(stopped).await {
                Some(Some(stream)) => serve(&state, &listener, &executor, stream).await,
                Some(None) => {}
                None => break,
            }
        }
        while let Some(stream) = listener.accept_queued() {
            serve(&state, &listener, &executor, stream).await;
        }
    }
}

async fn serve(
    state: &Rc<TrafficState>,
    listener: &CallerListener,
    executor: &LocalExecutor<'static>,
    stream: Async<TcpStream>,
) {
    match listener.admit().await {
        Some(caller) => executor.spawn(FrontConnection::new(state, caller).serve(stream)).detach(),
        None => {
            state.metrics.record_caller_end("no-place");
            state.front_log.record("connection-refused", "no-place", state.clock.now());
            // Only as far as the kernel takes it at once: there is no place to wait.
            let refusal = CallerCodec::encode_fault(CallerFault::NoRoom);
            if let Err(error) = stream.get_ref().write(&refusal) {
                log::debug!("event=caller-lost error={error}");
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/front_server.rs"]
mod tests;
