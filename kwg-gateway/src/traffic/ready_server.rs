use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use kwg_adapter::CallerCodec;
use kwg_h1::{HeadWriter, RequestHead};

use super::traffic_hub::TrafficHub;
use crate::socket::{ByteSocket, accept_each};

/// Longest question.
const MAX_HEAD: usize = 4 << 10;
/// How long a connection may be idle between questions, which come every second.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Tells whether new connections should come here.
#[derive(Debug)]
pub(crate) struct ReadyServer {
    pub(crate) hub: Rc<TrafficHub>,
    pub(crate) listener: Async<TcpListener>,
}

impl ReadyServer {
    /// Answers until the thread ends.
    pub(crate) async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        let hub = self.hub;
        accept_each(self.listener, |stream| {
            let hub = Rc::clone(&hub);
            executor.spawn(async move { answer(&hub, stream).await }).detach();
        })
        .await;
    }
}

async fn answer(hub: &TrafficHub, stream: Async<TcpStream>) {
    let mut socket = ByteSocket::new(stream);
    let (mut reader, writer) = socket.split();
    loop {
        let head = match RequestHead::parse(reader.inbox(), MAX_HEAD) {
            Ok(Some((head, used))) => {
                reader.consume(used);
                head
            }
            Ok(None) => {
                let idle = async {
                    hub.clock.sleep(IDLE_LIMIT).await;
                    Ok(0)
                };
                match reader.fill().or(idle).await {
                    Ok(count) if count > 0 => continue,
                    _ => return,
                }
            }
            Err(_) => return,
        };
        let status = match CallerCodec::is_ready_question(&head) {
            true if hub.is_ready() => 200,
            true => 503,
            false => 404,
        };
        let reply = HeadWriter::reply(status).finish_with(b"");
        if writer.write(&reply).await.is_err() || !head.keeps_alive {
            return;
        }
    }
}
