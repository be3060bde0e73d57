//! Limits that hold over all instances: quotas, the budget of repeats, suspects.

mod quota_book;
mod retry_budget;
mod suspect_book;

pub use quota_book::QuotaBook;
pub use retry_budget::{RetryBudget, RetryBudgetOptions};
pub use suspect_book::SuspectBook;
