//! Detects requests that repeatedly crash the targets that run them (poison requests).

mod suspect_list;

pub use suspect_list::{PoisonOptions, SuspectList, SuspectVerdict};
