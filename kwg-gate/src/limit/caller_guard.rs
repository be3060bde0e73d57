use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll};

use kwg_model::MonoTime;

use super::{CallerBytes, CallerKey, CallerLedger, CallerOptions, CallerPhase};

/// A caller's connection in a [`CallerLedger`]. The drop releases all that it holds.
#[derive(Debug)]
pub struct CallerGuard {
    ledger: Rc<RefCell<CallerLedger>>,
    key: CallerKey,
}

impl CallerGuard {
    /// Admits a connection; `None` if there is no room.
    ///
    /// ```
    /// use std::cell::RefCell;
    /// use std::rc::Rc;
    /// use kwg_gate::{CallerGuard, CallerLedger, CallerOptions};
    /// use kwg_model::MonoTime;
    ///
    /// let ledger = Rc::new(RefCell::new(CallerLedger::new(CallerOptions::default())));
    /// let guard = CallerGuard::accept(&ledger, MonoTime::ZERO).expect("room");
    /// assert_eq!(ledger.borrow().open_count(), 1);
    /// drop(guard);
    /// assert_eq!((ledger.borrow().open_count(), ledger.borrow().held_bytes()), (0, 0));
    /// ```
    #[must_use]
    pub fn accept(ledger: &Rc<RefCell<CallerLedger>>, now: MonoTime) -> Option<Self> {
        let key = ledger.borrow_mut().accept(now)?;
        Some(Self { ledger: Rc::clone(ledger), key })
    }

    /// Begins a phase; returns false if the connection is to be closed and must not begin to run.
    pub fn set_phase(&self, phase: CallerPhase, now: MonoTime) -> bool {
        self.ledger.borrow_mut().set_phase(self.key, phase, now)
    }

    /// Sets the number of bytes that are held; returns whether there is room for them.
    pub fn hold(&self, bytes: usize, now: MonoTime) -> bool {
        self.ledger.borrow_mut().hold(self.key, bytes, now)
    }

    /// Counts bytes that the kernel holds for the connection, until the drop of what is returned. They are
    /// there whether there is room for them or not.
    #[must_use]
    pub fn hold_kernel(&self, bytes: usize, now: MonoTime) -> CallerBytes {
        let mut held = CallerBytes::new(&self.ledger);
        // Whatever can be closed for them is closed.
        held.hold(bytes, now);
        held
    }

    /// The limits of all connections.
    #[must_use]
    pub fn options(&self) -> CallerOptions {
        *self.ledger.borrow().options()
    }

    /// Counts bytes of a request or an answer that have moved.
    pub fn record_progress(&self, bytes: usize, now: MonoTime) {
        self.ledger.borrow_mut().record_progress(self.key, bytes, now);
    }

    /// When the connection is too slow unless it makes progress before.
    #[must_use]
    pub fn floor_due(&self) -> MonoTime {
        self.ledger.borrow().floor_due(self.key)
    }

    /// Waits until the connection is to be closed to make room; returns the reason.
    pub async fn wait_closing(&self) -> &'static str {
        std::future::poll_fn(|context| self.poll_closing(context)).await
    }

    fn poll_closing(&self, context: &mut Context<'_>) -> Poll<&'static str> {
        let mut ledger = self.ledger.borrow_mut();
        match ledger.closing(self.key) {
            Some(reason) => Poll::Ready(reason),
            None => {
                ledger.set_waker(self.key, context.waker());
                Poll::Pending
            }
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.ledger.borrow_mut().remove(self.key);
    }
}
