//! Admission, queue, shedding and placement in virtual time: the real traffic cores against
//! fake engines, beside baselines that see the same requests.

mod fake_engine;
mod policy_kind;
mod policy_tally;
mod policy_trial;
mod work_load;

pub use policy_kind::PolicyKind;
pub use policy_tally::PolicyTally;
pub use policy_trial::PolicyTrial;
pub use work_load::{LoadRequest, WorkLoad};
