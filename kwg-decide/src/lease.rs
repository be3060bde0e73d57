//! Leader election by a lease row with a fencing number.
//!
//! Each router times the lease by its own monotonic clock; readings of different clocks are
//! never compared.

mod lease_options;
mod lease_row;
mod lease_state;
mod order_permit;

pub use lease_options::LeaseOptions;
pub use lease_row::LeaseRow;
pub use lease_state::{Held, LeaseState, LeaseWrite, Watching};
pub use order_permit::OrderPermit;
