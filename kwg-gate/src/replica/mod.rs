//! An instance's copies of the store's tables: when the store is called, what counts as an outage of it, when
//! a copy is pulled from a peer, and what a copy may replace.

mod check_plan;
mod peer_runs;
mod store_feed;
mod store_row;
mod store_witness;
mod table_lag;
mod table_mirror;
mod table_reading;
mod table_replica;

pub use check_plan::CheckPlan;
pub use peer_runs::PeerRuns;
pub use store_feed::{CallFailure, Calling, FeedCall, Pausing, StoreFeed, Waiting};
pub use store_row::StoreRow;
pub use store_witness::StoreWitness;
pub use table_lag::TableLag;
pub use table_mirror::TableMirror;
pub use table_reading::{ReadPurpose, TableReading};
pub use table_replica::{AppliedChanges, PullReply, RowChanges, TableCopy, TableReplica};
