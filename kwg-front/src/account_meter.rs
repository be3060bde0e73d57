use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kwg_model::AccountName;

/// Limits the concurrent requests of each client account in one traffic thread.
#[derive(Debug, Clone)]
pub struct AccountMeter {
    limit: usize,
    counts: Arc<Mutex<HashMap<AccountName, usize>>>,
}

/// Admits one request, which counts against its account's limit until the permit is dropped.
#[derive(Debug)]
pub struct RequestPermit {
    meter: AccountMeter,
    account: AccountName,
}

impl AccountMeter {
    /// Creates a meter that admits up to `limit` concurrent requests per account.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, counts: Arc::default() }
    }

    /// Admits a request, or returns `None` if the account is at its limit.
    ///
    /// ```
    /// use kwg_front::AccountMeter;
    /// use kwg_model::AccountName;
    ///
    /// let meter = AccountMeter::new(1);
    /// let bank = AccountName::new("bank").expect("valid");
    /// let permit = meter.acquire(&bank);
    /// assert!(permit.is_some() && meter.acquire(&bank).is_none());
    /// drop(permit);
    /// assert!(meter.acquire(&bank).is_some());
    /// ```
    #[must_use]
    pub fn acquire(&self, account: &AccountName) -> Option<RequestPermit> {
        let mut counts = self.counts();
        let count = counts.entry(account.clone()).or_default();
        if *count >= self.limit {
            return None;
        }
        *count += 1;
        Some(RequestPermit { meter: self.clone(), account: account.clone() })
    }

    fn counts(&self) -> MutexGuard<'_, HashMap<AccountName, usize>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let mut counts = self.meter.counts();
        if let Some(count) = counts.get_mut(&self.account) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.account);
            }
        }
    }
}
