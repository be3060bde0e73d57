//! Limits across all instances (quotas, the retry budget and the wait queue), and of the memory and the
//! descriptors that callers use at this one.

mod caller_bytes;
mod caller_entry;
mod caller_guard;
mod caller_ledger;
mod caller_options;
mod caller_phase;
mod quota_tracker;
mod retry_budget;
mod wait_queue;
mod wait_tracker;

pub use caller_bytes::CallerBytes;
pub use caller_guard::CallerGuard;
pub use caller_ledger::{CallerKey, CallerLedger};
pub use caller_options::CallerOptions;
pub use caller_phase::CallerPhase;
pub use quota_tracker::{FleetView, QuotaOptions, QuotaTracker};
pub use retry_budget::{RetryBudget, RetryBudgetOptions};
pub use wait_queue::{QueuePosition, WaitQueue};
pub use wait_tracker::WaitTracker;
