//! State of work that waits inside a core for a reply or a timer.

mod drain_handler;
mod key_table;
mod mint_table;
mod reply_table;
mod search_table;
mod ticket_handler;
mod timer_queue;

pub(crate) use drain_handler::{DrainHandler, DrainStep};
pub(crate) use reply_table::{PendingReply, ReplyTable};
pub(crate) use search_table::{SearchStep, SearchTable, TargetSearch};
pub(crate) use ticket_handler::TicketHandler;
pub(crate) use timer_queue::{TimerKey, TimerQueue};
