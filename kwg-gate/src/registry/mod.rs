//! Which targets exist, as their own entries say.

mod domain_map;
mod target_entry;
mod target_registry;

pub use domain_map::{DomainMap, LoadDistance};
pub use target_entry::TargetEntry;
pub use target_registry::TargetRegistry;
