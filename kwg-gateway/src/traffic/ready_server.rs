use std::cell::RefCell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use kwg_adapter::CallerCodec;
use kwg_gate::{CallerGuard, CallerLedger, CallerPhase};
use kwg_h1::{HeadWriter, RequestHead};

use super::front_head::HeadScanner;
use super::traffic_state::TrafficState;
use crate::socket::{ByteSocket, CallerListener, PacedWriter, SocketReader};

/// Maximum length of a request head, in bytes.
const MAX_HEAD: usize = 4 << 10;
/// How long a connection may be idle between readiness checks, which come every second.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Time limit for a head from its first byte, as that of callers.
const HEAD_LIMIT: Duration = Duration::from_secs(3);

/// Answers the readiness checks of load balancers, on connections that have their own limits: a crowd
/// at the front does not keep checks out, nor the other way round.
#[derive(Debug)]
pub(crate) struct ReadyServer {
    pub(crate) state: Rc<TrafficState>,
    pub(crate) listener: Async<TcpListener>,
    pub(crate) ledger: CallerLedger,
}

impl ReadyServer {
    /// Serves each connection in its own task, forever.
    pub(crate) async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        let Self { state, listener, ledger } = self;
        let ledger = Rc::new(RefCell::new(ledger));
        let listener = CallerListener::new(listener, &ledger, &state.clock);
        loop {
            let Some(stream) = listener.accept().await else { continue };
            match listener.admit().await {
                Some(caller) => {
                    let state = Rc::clone(&state);
                    executor.spawn(async move { answer(&state, &caller, stream).await }).detach();
                }
                None => state.metrics.record_caller_end("no-place"),
            }
        }
    }
}

async fn answer(state: &TrafficState, caller: &CallerGuard, stream: Async<TcpStream>) {
    let mut socket = ByteSocket::accepted(stream);
    let (mut reader, writer) = socket.split();
    let writer = PacedWriter::new(writer, caller, &state.clock);
    let shed = async {
        state.metrics.record_caller_end(caller.wait_closing().await);
    };
    let serve = async {
        while let Some(head) = read_head(state, caller, &mut reader).await {
            let status = match CallerCodec::is_readiness_probe(&head) {
                true if state.is_ready() => 200,
                true => 503,
                false => 404,
            };
            let reply =
                HeadWriter::reply(status).finish_with(b"").expect("the fields are constant");
            writer.begin_reply();
            if writer.write(&reply).await.is_err() || !head.keeps_alive {
                return;
            }
            caller.set_phase(CallerPhase::Idle, state.clock.now());
        }
    };
    serve.or(shed).await;
}

/// Reads the head of a check; `None` if none comes whole in time.
async fn read_head(
    state: &TrafficState,
    caller: &CallerGuard,
    reader: &mut SocketReader<'_>,
) -> Option<RequestHead> {
    let mut scanner = HeadScanner::default();
    let idle_end = state.clock.now() + IDLE_LIMIT;
    let mut due = idle_end;
    loop {
        if !reader.inbox().is_empty() && due == idle_end {
            let now = state.clock.now();
            caller.set_phase(CallerPhase::Head, now);
            due = idle_end.min(now + HEAD_LIMIT);
        }
        match scanner.find(reader.inbox(), MAX_HEAD) {
            Ok(Some((head, used))) => {
                reader.consume(used);
                return Some(head);
            }
            Ok(None) => {}
            Err(_) => return None,
        }
        let late = async {
            state.clock.sleep_until(due).await;
            Ok(0)
        };
        match reader.fill_up_to(MAX_HEAD).or(late).await {
            Ok(count) if count > 0 => {
                caller.hold(reader.buffer_bytes(), state.clock.now());
            }
            _ => return None,
        }
    }
}
