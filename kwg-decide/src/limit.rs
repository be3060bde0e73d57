//! How much work may be in flight at a target.

mod load_gauge;
mod load_permit;

pub use load_gauge::LoadGauge;
pub use load_permit::LoadPermit;
