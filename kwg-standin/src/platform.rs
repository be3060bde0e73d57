//! The platform: a transactional table service, an object store and a lagging instance list,
//! with the faults that the brief names.

mod platform_faults;
mod platform_standin;
mod table_state;

pub use platform_standin::PlatformStandin;
