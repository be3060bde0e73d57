//! Selection of the target that runs a request.

mod placement_options;
mod placement_request;
mod target_choice;
mod target_health;
mod target_selector;

pub use placement_options::PlacementOptions;
pub use placement_request::PlacementRequest;
pub use target_choice::TargetChoice;
pub use target_health::TargetHealth;
pub use target_selector::TargetSelector;
