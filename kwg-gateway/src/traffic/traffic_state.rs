use std::cell::{Cell, RefCell};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use kwg_clock::ClockHandle;
use kwg_gate::{CallerLimits, GateCore};

use super::connection_pool::ConnectionPool;
use super::wait_notifier::WaitNotifier;
use crate::gateway_metrics::GatewayMetrics;

/// State shared by the tasks of the traffic thread. `RefCell` borrows end before any await.
#[derive(Debug)]
pub(crate) struct TrafficState {
    pub(crate) core: RefCell<GateCore>,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) wait_notifier: WaitNotifier,
    pub(crate) clock: ClockHandle,
    pub(crate) metrics: GatewayMetrics,
    /// Set by [`TrafficInput::Stop`](crate::gateway_pipes::TrafficInput::Stop): the instance
    /// reports not ready and keeps no connection alive.
    pub(crate) is_stopping: Cell<bool>,
    /// Set by [`TrafficInput::CloseIdle`](crate::gateway_pipes::TrafficInput::CloseIdle): further
    /// requests are refused.
    pub(crate) is_front_closed: Cell<bool>,
    /// Number of open connections of callers.
    pub(crate) open_connections: Cell<usize>,
    /// Bytes of all bodies of requests and answers that are held in memory.
    pub(crate) body_bytes: Cell<usize>,
    pub(crate) max_connections: usize,
    pub(crate) max_body_bytes: usize,
    close_idle_sender: RefCell<Option<Sender<()>>>,
    close_idle_signal: Receiver<()>,
}

impl TrafficState {
    pub(crate) fn new(
        core: GateCore,
        clock: ClockHandle,
        metrics: GatewayMetrics,
        max_connections: usize,
        max_body_bytes: usize,
    ) -> Rc<Self> {
        let (close_idle_sender, close_idle_signal) = async_channel::bounded(1);
        Rc::new(Self {
            core: RefCell::new(core),
            pool: RefCell::default(),
            wait_notifier: WaitNotifier::default(),
            clock,
            metrics,
            is_stopping: Cell::new(false),
            is_front_closed: Cell::new(false),
            open_connections: Cell::new(0),
            body_bytes: Cell::new(0),
            max_connections,
            max_body_bytes,
            close_idle_sender: RefCell::new(Some(close_idle_sender)),
            close_idle_signal,
        })
    }

    /// Whether load balancers should route new connections to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.core.borrow().is_ready()
    }

    /// The size and time limits for callers' requests.
    pub(crate) fn limits(&self) -> CallerLimits {
        let core = self.core.borrow();
        core.table().map_or_else(CallerLimits::default, |table| table.limits())
    }

    /// Signals idle connections to close.
    pub(crate) fn close_idle(&self) {
        self.close_idle_sender.borrow_mut().take();
    }

    /// Waits for the signal of [`Self::close_idle`].
    pub(crate) async fn wait_close_idle(&self) {
        // An error means that the sender has been dropped, which is the signal.
        if self.close_idle_signal.recv().await.is_ok() {
            std::future::pending::<()>().await;
        }
    }
}
