//! Detection of poison requests, which crash the targets that run them.

mod suspect_list;

pub use suspect_list::{PoisonOptions, SuspectList, SuspectVerdict};
