//! Routes, services and accounts as one immutable table.

mod account_rule;
mod caller_limits;
mod region_bound;
mod request_kind;
mod route_rule;
mod route_table;
mod service_rule;
mod stream_promise;

pub use account_rule::{AccountRule, QuotaRule};
pub use caller_limits::CallerLimits;
pub use region_bound::RegionBound;
pub use request_kind::RequestKind;
pub use route_rule::{RoutePool, RouteRule};
pub use route_table::{RouteMatch, RouteTable};
pub use service_rule::{EngineRule, ServiceRule};
pub use stream_promise::StreamPromise;
