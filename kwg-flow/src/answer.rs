//! Answers while they run and while they are kept, and who reads them.

mod answer_buffer;
mod answer_note;
mod answer_reader;
mod answer_record;
mod answer_shelf;

pub use answer_note::AnswerNote;
pub(crate) use answer_reader::{AnswerReader, ReaderAddress};
pub(crate) use answer_record::{AnswerRecord, AnswerStage};
pub(crate) use answer_shelf::AnswerShelf;
