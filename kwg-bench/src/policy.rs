//! Runs the admission, queueing, shedding and placement of the traffic cores against simulated
//! engines in virtual time, and compares them with baselines that get the same requests.

mod fake_engine;
mod policy_kind;
mod policy_tally;
mod policy_trial;
mod workload;

pub use policy_kind::PolicyKind;
pub use policy_tally::PolicyTally;
pub use policy_trial::PolicyTrial;
pub use workload::{LoadRequest, Workload};
