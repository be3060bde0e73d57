//! Leadership by a lease row with a fencing number, judged by each reader's own monotonic
//! clock. No clock is ever compared with another's.

mod lease_options;
mod lease_row;
mod lease_seat;
mod order_permit;

pub use lease_options::LeaseOptions;
pub use lease_row::LeaseRow;
pub use lease_seat::{Held, LeaseSeat, LeaseWrite, Watching};
pub use order_permit::OrderPermit;
