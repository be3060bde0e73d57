//! What the fleet knows: the store's tables, peers, and what is passed on between them.

mod control_hub;
mod control_thread;
mod instance_desk;
mod metrics_server;
mod move_desk;
mod peer_desk;
mod store_link;
mod table_feed;
mod table_mirror;

pub(crate) use control_thread::ControlThread;
