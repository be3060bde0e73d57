use kwg_model::{AccountName, CallOutcome, HomeAddress, PoolName, ResumeToken, TicketKey};

use super::answer_buffer::AnswerBuffer;
use super::{AnswerEvent, AnswerReader, ReaderAddress};
use crate::{CallerReply, TrafficMessage, TrafficOutput};

/// Where an answer comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AnswerStage {
    /// The request waits in this core for capacity or for its claim.
    Waiting,
    /// This core dispatched the request.
    Running,
    /// Another core runs the request and relays its answer.
    Joined(HomeAddress),
    /// The stream was interrupted or the core that ran the request is unreachable; the answer is
    /// read from its target.
    Resuming,
    /// The answer is complete.
    Ended,
}

/// An answer and its readers.
#[derive(Debug)]
pub(crate) struct AnswerRecord {
    pub(crate) account: AccountName,
    pub(crate) pool: PoolName,
    pub(crate) non_idempotent: bool,
    pub(crate) stage: AnswerStage,
    pub(crate) token: Option<ResumeToken>,
    pub(crate) buffer: AnswerBuffer,
    /// Buffer length at the last progress check of a joined answer, in bytes.
    pub(crate) checked_length: u64,
    pub(crate) readers: Vec<AnswerReader>,
}

impl AnswerRecord {
    pub(crate) fn new(account: AccountName, pool: PoolName, non_idempotent: bool) -> Self {
        Self {
            account,
            pool,
            non_idempotent,
            stage: AnswerStage::Waiting,
            token: None,
            buffer: AnswerBuffer::default(),
            checked_length: 0,
            readers: Vec::new(),
        }
    }

    /// Adds a reader. If it is already attached, it restarts at `offset`.
    pub(crate) fn attach(&mut self, address: ReaderAddress, offset: u64) {
        self.readers.retain(|reader| reader.address != address);
        self.readers.push(AnswerReader::new(address, offset));
    }

    /// Removes a reader. Returns whether it was attached.
    pub(crate) fn detach(&mut self, address: &ReaderAddress) -> bool {
        let before = self.readers.len();
        self.readers.retain(|reader| reader.address != *address);
        self.readers.len() < before
    }

    /// Sends every reader what it has not received; removes the readers of a complete answer.
    pub(crate) fn deliver(&mut self, key: &TicketKey, outputs: &mut Vec<TrafficOutput>) {
        for reader in &mut self.readers {
            for event in reader.catch_up(&self.buffer, self.token.as_ref()) {
                outputs.push(event_output(&reader.address, key, event));
            }
        }
        if self.buffer.end().is_some() {
            self.readers.clear();
        }
    }

    /// Notifies and removes every reader: the answer will not be completed.
    pub(crate) fn fail(
        &mut self,
        key: &TicketKey,
        outcome: CallOutcome,
        outputs: &mut Vec<TrafficOutput>,
    ) {
        for reader in self.readers.drain(..) {
            outputs.push(event_output(&reader.address, key, AnswerEvent::Failed(outcome)));
        }
    }
}

fn event_output(address: &ReaderAddress, key: &TicketKey, event: AnswerEvent) -> TrafficOutput {
    match address {
        ReaderAddress::Caller(caller) => {
            let reply = CallerReply::Answer { key: key.clone(), event };
            TrafficOutput::Reply { caller: *caller, reply }
        }
        ReaderAddress::Peer(peer) => {
            let message = TrafficMessage::Answer { key: key.clone(), event };
            TrafficOutput::Send { to: peer.clone(), message }
        }
    }
}
