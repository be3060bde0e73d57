//! Admission, queueing, shedding and placement in virtual time: the real traffic cores against
//! simulated engines, compared with baselines that get the same requests.

mod fake_engine;
mod policy_kind;
mod policy_tally;
mod policy_trial;
mod work_load;

pub use policy_kind::PolicyKind;
pub use policy_tally::PolicyTally;
pub use policy_trial::PolicyTrial;
pub use work_load::{LoadRequest, WorkLoad};
