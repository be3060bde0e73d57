//! Requests, filter by filter: read, admit, place, dispatch, relay.

mod answer_relay;
mod attempt_guard;
mod attempt_report;
mod connection_pool;
mod event_splitter;
mod front_connection;
mod front_server;
mod ready_server;
mod request_pipeline;
mod target_attempt;
mod traffic_hub;
mod traffic_thread;
mod waiting_room;

pub(crate) use traffic_thread::TrafficThread;
