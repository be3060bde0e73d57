//! The platform: a transactional table service, an object store and an instance list with lag,
//! each with faults that tests can switch on.

mod platform_faults;
mod platform_standin;
mod table_state;

pub use platform_standin::PlatformStandin;
