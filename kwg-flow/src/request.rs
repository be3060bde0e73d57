//! The life cycle of a request as a typestate: each transition consumes the previous stage.

mod call_rejection;
mod dispatch_order;
mod request_flow;

pub use call_rejection::CallRejection;
pub(crate) use call_rejection::UnknownRouteSnafu;
pub use dispatch_order::DispatchOrder;
pub use request_flow::{Admitted, Answered, Claimed, Dispatched, Placed, Received, RequestFlow};
