//! A caller that follows docs/CALLERS.md: it takes tickets, sends its request, and resumes or
//! resends it under the same ticket when the connection breaks.

mod call_plan;
mod call_report;
mod caller_agent;

pub use call_plan::CallPlan;
pub use call_report::{CallReport, CallResult};
pub use caller_agent::CallerAgent;
