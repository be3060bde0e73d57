//! A caller that does what docs/CALLERS.md asks of it: takes tickets, sends its request, and
//! resumes or resends under the same ticket when the connection breaks.

mod call_plan;
mod call_report;
mod caller_agent;

pub use call_plan::CallPlan;
pub use call_report::{CallReport, CallResult};
pub use caller_agent::CallerAgent;
