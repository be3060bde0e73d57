use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::future::yield_now;
use kwg_clock::ClockHandle;
use kwg_gate::{CallerGuard, CallerLedger};

/// Size of the kernel's receive buffer and send buffer of a caller's connection, in bytes. It fills a link
/// of 10 Mbit/s with a round trip of 24 ms twice over; without it, the kernel grows them to megabytes.
const BUFFER_BYTES: usize = 64 << 10;
/// Memory that a full buffer takes in the kernel, which doubles the size for its own records, in bytes.
pub(crate) const KERNEL_BYTES: usize = 2 * BUFFER_BYTES;
/// Pause after `accept` failed and no connection could be closed for it.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Number of connections after which other tasks run, so that callers who connect without a pause do not
/// keep them waiting. One at a time would have 60 callers wait for 60 turns of a busy thread.
const ACCEPT_BATCH: usize = 32;
/// How often other tasks run until a connection that makes place has been closed. Its task is ready
/// before this one, so that the first pause is enough unless it writes a refusal.
const CLOSE_TURNS: usize = 4;

/// Accepts connections of callers within the limits of a ledger.
#[derive(Debug)]
pub(crate) struct CallerListener {
    listener: Async<TcpListener>,
    ledger: Rc<RefCell<CallerLedger>>,
    clock: ClockHandle,
    /// Number of connections accepted since other tasks were let run.
    accepted: Cell<usize>,
}

impl CallerListener {
    pub(crate) fn new(
        listener: Async<TcpListener>,
        ledger: &Rc<RefCell<CallerLedger>>,
        clock: &ClockHandle,
    ) -> Self {
        // Connections take over the sizes of their listener.
        let socket = listener.get_ref();
        let set = rustix::net::sockopt::set_socket_recv_buffer_size(socket, BUFFER_BYTES)
            .and_then(|()| rustix::net::sockopt::set_socket_send_buffer_size(socket, BUFFER_BYTES));
        if let Err(error) = set {
            log::debug!("event=socket-option option=buffers error={error}");
        }
        Self { listener, ledger: Rc::clone(ledger), clock: clock.clone(), accepted: Cell::new(0) }
    }

    /// Waits for a connection; `None` if `accept` failed.
    pub(crate) async fn accept(&self) -> Option<Async<TcpStream>> {
        if self.accepted.get() >= ACCEPT_BATCH {
            self.accepted.set(0);
            yield_now().await;
        }
        self.accepted.set(self.accepted.get() + 1);
        match self.listener.accept().await {
            Ok((stream, _)) => Some(stream),
            Err(error) => {
                log::warn!("event=accept-failed error=\"{error}\"");
                // Most likely the process has no free descriptors.
                if !self.ledger.borrow_mut().shed(self.clock.now()) {
                    log::debug!("event=nothing-to-close");
                }
                self.clock.sleep(ACCEPT_PAUSE).await;
                None
            }
        }
    }

    /// A connection that is already in the accept queue.
    pub(crate) fn accept_queued(&self) -> Option<Async<TcpStream>> {
        let (stream, _) = self.listener.get_ref().accept().ok()?;
        match Async::new(stream) {
            Ok(stream) => Some(stream),
            Err(error) => {
                log::warn!("event=accept-failed error=\"{error}\"");
                None
            }
        }
    }

    /// Makes place for an accepted connection; `None` if there is none. Other connections that are closed
    /// for it are gone before.
    pub(crate) async fn admit(&self) -> Option<CallerGuard> {
        for _ in 0..CLOSE_TURNS {
            let now = self.clock.now();
            if self.ledger.borrow().has_place() || !self.ledger.borrow_mut().make_place(now) {
                break;
            }
            yield_now().await;
        }
        let has_place = self.ledger.borrow().has_place();
        has_place.then(|| CallerGuard::accept(&self.ledger, self.clock.now())).flatten()
    }
}
