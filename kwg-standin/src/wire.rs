//! The platform's store and runners on their wire protocol, with faults that tests can set.

mod broken_reply;
mod endless_reply;
mod fatal_end;
mod runner_reply;
mod runner_standin;
mod sample_fleet;
mod store_standin;
mod stream_framing;
mod wire_server;

pub use broken_reply::BrokenReply;
pub use endless_reply::EndlessReply;
pub use fatal_end::FatalEnd;
pub use runner_standin::{ReceivedRequest, RunnerMode, RunnerStandin};
pub use sample_fleet::SampleFleet;
pub use store_standin::{StoreMode, StoreStandin};
pub use stream_framing::StreamFraming;
