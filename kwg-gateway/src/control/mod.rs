//! Control state: mirrors of the store's tables, the peer instances, and gossip between them.

mod control_state;
mod control_thread;
mod digest_handler;
mod evacuation_rows;
mod feed_alarm;
mod instance_directory;
mod metrics_server;
mod move_handler;
mod move_watch;
mod order_rows;
mod peer_handler;
mod peer_outbox;
mod pending_phases;
mod row_write;
mod store_link;
mod store_reader;
mod table_feed;
mod target_log;

pub(crate) use control_thread::ControlThread;
