//! What waits inside a core for an answer from outside.

mod drain_desk;
mod home_desk;
mod key_desk;
mod mint_desk;
mod search_desk;
mod ticket_desk;
mod timer_queue;

pub(crate) use drain_desk::{DrainDesk, DrainStep};
pub(crate) use home_desk::{HomeDesk, HomeWait};
pub(crate) use search_desk::{SearchDesk, SearchStep, TargetSearch};
pub(crate) use ticket_desk::TicketDesk;
pub(crate) use timer_queue::{TimerKey, TimerQueue};
