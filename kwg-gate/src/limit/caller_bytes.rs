use std::cell::RefCell;
use std::rc::Rc;

use kwg_model::MonoTime;

use super::CallerLedger;

/// Bytes that are held for an answer and count in a [`CallerLedger`] until the drop.
#[derive(Debug)]
pub struct CallerBytes {
    ledger: Rc<RefCell<CallerLedger>>,
    bytes: usize,
}

impl CallerBytes {
    /// Counts no bytes yet.
    ///
    /// ```
    /// use std::cell::RefCell;
    /// use std::rc::Rc;
    /// use kwg_gate::{CallerBytes, CallerLedger, CallerOptions};
    /// use kwg_model::MonoTime;
    ///
    /// let options = CallerOptions { memory_bytes: 1_000, ..CallerOptions::default() };
    /// let ledger = Rc::new(RefCell::new(CallerLedger::new(options)));
    /// let mut bytes = CallerBytes::new(&ledger);
    /// assert!(bytes.hold(1_000, MonoTime::ZERO));
    /// assert!(!bytes.hold(1_001, MonoTime::ZERO));
    /// drop(bytes);
    /// assert_eq!(ledger.borrow().held_bytes(), 0);
    /// ```
    #[must_use]
    pub fn new(ledger: &Rc<RefCell<CallerLedger>>) -> Self {
        Self { ledger: Rc::clone(ledger), bytes: 0 }
    }

    /// Sets the number of bytes that are held; returns whether there is room for them.
    pub fn hold(&mut self, bytes: usize, now: MonoTime) -> bool {
        let before = std::mem::replace(&mut self.bytes, bytes);
        self.ledger.borrow_mut().hold_shared(before, bytes, now)
    }
}

impl Drop for CallerBytes {
    fn drop(&mut self) {
        self.ledger.borrow_mut().hold_shared(self.bytes, 0, MonoTime::ZERO);
    }
}
