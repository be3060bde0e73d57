//! The targets that exist according to their own entries, and the distances of failure domains.

mod domain_map;
mod target_entry;
mod target_registry;

pub use domain_map::{DomainDistance, DomainMap};
pub use target_entry::TargetEntry;
pub use target_registry::TargetRegistry;
