use std::cell::{Cell, RefCell};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use kwg_clock::ClockHandle;
use kwg_gate::{CallerLimits, GateCore};

use super::connection_pool::ConnectionPool;
use super::waiting_room::WaitingRoom;
use crate::gateway_metrics::GatewayMetrics;

/// What the tasks of the traffic thread share. Borrows end before anything is awaited.
#[derive(Debug)]
pub(crate) struct TrafficHub {
    pub(crate) core: RefCell<GateCore>,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) waiting_room: WaitingRoom,
    pub(crate) clock: ClockHandle,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) is_stopping: Cell<bool>,
    pub(crate) is_closed: Cell<bool>,
    pub(crate) open_connections: Cell<usize>,
    pub(crate) body_bytes: Cell<usize>,
    pub(crate) max_connections: usize,
    pub(crate) max_body_bytes: usize,
    idle_open: RefCell<Option<Sender<()>>>,
    idle_closed: Receiver<()>,
}

impl TrafficHub {
    pub(crate) fn new(
        core: GateCore,
        clock: ClockHandle,
        metrics: GatewayMetrics,
        max_connections: usize,
        max_body_bytes: usize,
    ) -> Rc<Self> {
        let (idle_open, idle_closed) = async_channel::bounded(1);
        Rc::new(Self {
            core: RefCell::new(core),
            pool: RefCell::default(),
            waiting_room: WaitingRoom::default(),
            clock,
            metrics,
            is_stopping: Cell::new(false),
            is_closed: Cell::new(false),
            open_connections: Cell::new(0),
            body_bytes: Cell::new(0),
            max_connections,
            max_body_bytes,
            idle_open: RefCell::new(Some(idle_open)),
            idle_closed,
        })
    }

    /// Whether new connections should come here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.core.borrow().is_ready()
    }

    /// What callers may send.
    pub(crate) fn limits(&self) -> CallerLimits {
        let core = self.core.borrow();
        core.table().map_or_else(CallerLimits::default, |table| table.limits())
    }

    /// Ends the wait of idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle_open.borrow_mut().take();
    }

    /// Waits until idle connections are to be closed.
    pub(crate) async fn idle_closed(&self) {
        // An error means that the sender is gone, which is the signal.
        if self.idle_closed.recv().await.is_ok() {
            std::future::pending::<()>().await;
        }
    }
}
