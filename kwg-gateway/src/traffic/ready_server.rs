use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use kwg_adapter::CallerCodec;
use kwg_h1::{HeadWriter, RequestHead};

use super::traffic_state::TrafficState;
use crate::socket::{ByteSocket, accept_each};

/// Maximum length of a request head, in bytes.
const MAX_HEAD: usize = 4 << 10;
/// How long a connection may be idle between readiness checks, which come every second.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Answers the readiness checks of load balancers.
#[derive(Debug)]
pub(crate) struct ReadyServer {
    pub(crate) state: Rc<TrafficState>,
    pub(crate) listener: Async<TcpListener>,
}

impl ReadyServer {
    /// Serves each connection in its own task, forever.
    pub(crate) async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        let state = self.state;
        accept_each(&self.listener, |stream| {
            let state = Rc::clone(&state);
            executor.spawn(async move { answer(&state, stream).await }).detach();
        })
        .await;
    }
}

async fn answer(state: &TrafficState, stream: Async<TcpStream>) {
    let mut socket = ByteSocket::accepted(stream);
    let (mut reader, writer) = socket.split();
    loop {
        let head = match RequestHead::parse(reader.inbox(), MAX_HEAD) {
            Ok(Some((head, used))) => {
                reader.consume(used);
                head
            }
            Ok(None) => {
                let idle = async {
                    state.clock.sleep(IDLE_LIMIT).await;
                    Ok(0)
                };
                match reader.fill().or(idle).await {
                    Ok(count) if count > 0 => continue,
                    _ => return,
                }
            }
            Err(_) => return,
        };
        let status = match CallerCodec::is_readiness_probe(&head) {
            true if state.is_ready() => 200,
            true => 503,
            false => 404,
        };
        let reply = HeadWriter::reply(status).finish_with(b"").expect("the fields are constant");
        if writer.write(&reply).await.is_err() || !head.keeps_alive {
            return;
        }
    }
}
