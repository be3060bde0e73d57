//! Limits of the work in flight at a target.

mod limit_share;
mod load_gauge;
mod load_permit;

pub use limit_share::LimitShare;
pub use load_gauge::LoadGauge;
pub use load_permit::LoadPermit;
