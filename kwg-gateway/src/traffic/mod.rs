//! The request path, filter by filter: read, admit, allocate a slot, dispatch, relay the answer.

mod abandon_guard;
mod answer_relay;
mod attempt_guard;
mod attempt_hand_over;
mod attempt_report;
mod attempt_stop;
mod carried_requests;
mod connection_pool;
mod content_hash;
mod counted_body;
mod event_pace;
mod event_splitter;
mod front_body;
mod front_connection;
mod front_head;
mod front_log;
mod front_reader;
mod front_server;
mod ready_server;
mod reply_reader;
mod request_pipeline;
mod request_writer;
mod speed_log;
mod stop_signal;
mod suspect_fields;
mod suspect_log;
mod target_attempt;
mod target_exchange;
mod target_link;
mod traffic_state;
mod traffic_thread;
mod wait_notifier;

pub(crate) use traffic_thread::TrafficThread;
