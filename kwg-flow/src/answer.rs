//! Answers in progress and retained answers, with the readers attached to them.

mod answer_buffer;
mod answer_event;
mod answer_reader;
mod answer_record;
mod answer_store;

pub use answer_event::AnswerEvent;
pub(crate) use answer_reader::{AnswerReader, ReaderAddress};
pub(crate) use answer_record::{AnswerRecord, AnswerStage};
pub(crate) use answer_store::AnswerStore;
