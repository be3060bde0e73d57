use std::collections::HashMap;

use kwg_model::{
    AccountName, ByteChunk, CallOutcome, HomeAddress, MonoTime, PoolKind, TicketKey, UnknownReason,
};

use super::recover_filter::attach_output;
use super::{FlowContext, FlowPipe, RecoverFilter, RelayStep};
use crate::answer::{AnswerRecord, AnswerShelf, AnswerStage, ReaderAddress};
use crate::desk::TimerKey;
use crate::{
    AnswerNote, Dispatched, EventKind, RequestFlow, TargetEvent, TrafficMessage, TrafficOptions,
    TrafficOutput,
};

/// Passes answers on from targets and other cores to whoever reads them, and finds them again
/// when their way breaks off.
#[derive(Debug)]
pub(crate) struct RelayFilter {
    shelf: AnswerShelf,
    running: HashMap<TicketKey, RequestFlow<Dispatched>>,
    recover: RecoverFilter,
}

impl RelayFilter {
    pub(crate) fn new(options: &TrafficOptions) -> Self {
        Self {
            shelf: AnswerShelf::new(options.answer_retention, options.answer_max_bytes),
            running: HashMap::new(),
            recover: RecoverFilter::default(),
        }
    }

    /// The part that finds answers again, with the answers.
    pub(crate) fn recovery(&mut self) -> (&mut RecoverFilter, &mut AnswerShelf) {
        (&mut self.recover, &mut self.shelf)
    }

    pub(crate) fn shelf(&mut self) -> &mut AnswerShelf {
        &mut self.shelf
    }

    /// Adds a reader to an answer that is here; `false` if it is not.
    pub(crate) fn attach(
        &mut self,
        key: &TicketKey,
        reader: ReaderAddress,
        offset: u64,
        pipe: &mut FlowPipe<'_>,
    ) -> bool {
        let Some(record) = self.shelf.get_mut(key) else {
            return false;
        };
        record.attach(reader, offset);
        record.deliver(key, pipe.outputs);
        true
    }

    /// Lets another core read an answer that is here.
    pub(crate) fn serve_attach(
        &mut self,
        from: &HomeAddress,
        key: &TicketKey,
        account: &AccountName,
        offset: u64,
        pipe: &mut FlowPipe<'_>,
    ) {
        let own = self.shelf.get_mut(key).is_some_and(|record| {
            record.account == *account && !matches!(record.stage, AnswerStage::Joined(_))
        });
        if !own || !self.attach(key, ReaderAddress::Peer(from.clone()), offset, pipe) {
            pipe.send(from, TrafficMessage::AnswerMissing { key: key.clone() });
        }
    }

    /// Opens a record for a request and its first reader.
    pub(crate) fn open(&mut self, key: &TicketKey, record: AnswerRecord) {
        self.shelf.insert(key.clone(), record);
    }

    /// Whether anybody reads an answer.
    pub(crate) fn has_readers(&mut self, key: &TicketKey) -> bool {
        self.shelf.get_mut(key).is_some_and(|record| !record.readers.is_empty())
    }

    /// Drops a reader; an answer that loses its last one is stopped after a while.
    pub(crate) fn detach(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        reader: &ReaderAddress,
        pipe: &mut FlowPipe<'_>,
    ) {
        let Some(record) = self.shelf.get_mut(key) else {
            return;
        };
        if record.detach(reader) && record.readers.is_empty() {
            let at = context.now + context.options.orphan_grace;
            pipe.timers.set(at, TimerKey::Orphan(key.clone()));
        }
    }

    /// Takes a dispatched request; its head goes to its readers before the order goes out.
    pub(crate) fn start(&mut self, flow: RequestFlow<Dispatched>, pipe: &mut FlowPipe<'_>) {
        let key = flow.key().clone();
        if let Some(record) = self.shelf.get_mut(&key) {
            record.stage = AnswerStage::Running;
            record.token = Some(flow.resume_token());
            record.deliver(&key, pipe.outputs);
        }
        let choice = flow.choice();
        let (target, version) = (choice.target.clone(), choice.version.clone());
        pipe.event(&key, EventKind::Dispatched { target, version });
        self.running.insert(key, flow);
    }

    /// Ends an answer without its being whole; gives the request if this core dispatched it.
    pub(crate) fn fail(
        &mut self,
        key: &TicketKey,
        outcome: CallOutcome,
        pipe: &mut FlowPipe<'_>,
    ) -> Option<RequestFlow<Dispatched>> {
        let flow = self.running.remove(key).or(self.recover.end(key));
        if let Some(mut record) = self.shelf.remove(key) {
            record.fail(key, outcome, pipe.outputs);
        }
        flow
    }

    /// Takes a step of an answer that another core relays.
    pub(crate) fn on_answer(
        &mut self,
        context: &FlowContext<'_>,
        from: &HomeAddress,
        key: &TicketKey,
        note: AnswerNote,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let joined = |record: &&mut AnswerRecord| matches!(&record.stage, AnswerStage::Joined(holder) if holder == from);
        let Some(record) = self.shelf.get_mut(key).filter(joined) else {
            let message = TrafficMessage::Detach { key: key.clone() };
            pipe.outputs.push(TrafficOutput::Send { to: from.clone(), message });
            return RelayStep::Continue;
        };
        match note {
            AnswerNote::Head(token) => record.token = Some(token),
            AnswerNote::Part { offset, chunk } => {
                if !record.buffer.append(offset, &chunk) {
                    pipe.outputs.push(attach_output(key, record, from.clone()));
                }
            }
            AnswerNote::End { length } if record.buffer.finish(length) => {
                record.stage = AnswerStage::Ended;
                pipe.event(key, EventKind::Recovered { length });
            }
            AnswerNote::End { .. } => pipe.outputs.push(attach_output(key, record, from.clone())),
            AnswerNote::Failed(outcome) => return RelayStep::Failed(key.clone(), outcome),
        }
        record.deliver(key, pipe.outputs);
        if record.stage == AnswerStage::Ended {
            self.shelf.keep(context.now, key.clone());
        }
        RelayStep::Continue
    }

    /// Stops an answer that nobody has read for a while, unless stopping could do harm.
    pub(crate) fn on_orphan_timer(&mut self, key: &TicketKey, pipe: &mut FlowPipe<'_>) {
        let Some(record) = self.shelf.get_mut(key) else {
            return;
        };
        let orphaned = record.readers.is_empty()
            && matches!(record.stage, AnswerStage::Running | AnswerStage::Resuming);
        if record.stage == AnswerStage::Ended || !record.readers.is_empty() {
            return;
        }
        if let (true, false, Some(token)) = (orphaned, record.non_idempotent, record.token.take()) {
            let (pool, target) = (token.pool, token.target);
            pipe.outputs.push(TrafficOutput::Cancel { key: key.clone(), pool, target });
            pipe.event(key, EventKind::Cancelled);
        } else if record.non_idempotent && orphaned {
            return;
        }
        self.running.remove(key);
        self.recover.end(key);
        self.shelf.remove(key);
    }

    /// Takes a report of the target shell.
    pub(crate) fn on_target(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        event: TargetEvent,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        match event {
            TargetEvent::Part { offset, chunk } => self.on_part(context, key, offset, &chunk, pipe),
            TargetEvent::End { length } => self.on_end(context, key, length, pipe),
            TargetEvent::Cut => self.on_cut(context, key, pipe),
            TargetEvent::Missing if self.running.contains_key(key) => {
                let outcome = CallOutcome::Unknown(UnknownReason::TargetFailed);
                RelayStep::Failed(key.clone(), outcome)
            }
            TargetEvent::Missing => {
                self.recover.on_turned_away(&mut self.shelf, context, key, pipe)
            }
            TargetEvent::Failed => {
                let outcome = CallOutcome::Unknown(UnknownReason::TargetFailed);
                RelayStep::Failed(key.clone(), outcome)
            }
            TargetEvent::NotStarted(order) => match self.running.remove(key) {
                Some(flow) => RelayStep::NotStarted(Box::new(flow), order),
                None => RelayStep::Continue,
            },
        }
    }

    fn on_part(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        offset: u64,
        chunk: &ByteChunk,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let Some(record) = self.shelf.get_mut(key) else {
            return RelayStep::Continue;
        };
        if !record.buffer.append(offset, chunk) {
            return self.on_cut(context, key, pipe);
        }
        if let Some(flow) = self.running.get_mut(key) {
            flow.note_byte(context.now);
        }
        self.recover.note_byte(context, key, record);
        record.deliver(key, pipe.outputs);
        RelayStep::Continue
    }

    fn on_end(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        length: u64,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let Some(record) = self.shelf.get_mut(key) else {
            return RelayStep::Continue;
        };
        if !record.buffer.finish(length) {
            return self.on_cut(context, key, pipe);
        }
        record.stage = AnswerStage::Ended;
        record.deliver(key, pipe.outputs);
        self.shelf.keep(context.now, key.clone());
        let search_flow = self.recover.end(key);
        match self.running.remove(key).or(search_flow) {
            Some(flow) => RelayStep::Ended(Box::new(flow.answer(context.now, length))),
            None => {
                pipe.event(key, EventKind::Recovered { length });
                RelayStep::Continue
            }
        }
    }

    fn on_cut(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        if let Some(flow) = self.running.remove(key) {
            let choice = flow.choice();
            pipe.event(key, EventKind::Cut { target: choice.target.clone() });
            if choice.kind == PoolKind::Service {
                let outcome = CallOutcome::Unknown(UnknownReason::TargetFailed);
                return RelayStep::Failed(key.clone(), outcome);
            }
            self.recover.begin(&mut self.shelf, context, flow);
        }
        self.recover.on_broke_off(&mut self.shelf, context, key, pipe)
    }

    /// Drops the readers of routers that have gone, and finds the answers that routers which
    /// have gone were relaying.
    pub(crate) fn on_fleet(
        &mut self,
        context: &FlowContext<'_>,
        pipe: &mut FlowPipe<'_>,
    ) -> Vec<RelayStep> {
        let mut lost = Vec::new();
        for (key, record) in self.shelf.iter_mut() {
            record.readers.retain(|reader| match &reader.address {
                ReaderAddress::Peer(peer) => context.is_alive(peer),
                ReaderAddress::Caller(_) => true,
            });
            if record.readers.is_empty() && record.stage == AnswerStage::Running {
                let at = context.now + context.options.orphan_grace;
                pipe.timers.set(at, TimerKey::Orphan(key.clone()));
            }
            if matches!(&record.stage, AnswerStage::Joined(holder) if !context.is_alive(holder)) {
                lost.push(key.clone());
            }
        }
        let (shelf, recover) = (&mut self.shelf, &mut self.recover);
        lost.iter().map(|key| recover.search(shelf, context, key, pipe)).collect()
    }

    /// When the oldest kept answer is to be dropped.
    pub(crate) fn next_forget(&self) -> Option<MonoTime> {
        self.shelf.next_forget()
    }

    /// How many answers have not ended.
    pub(crate) fn running(&self) -> usize {
        self.shelf.running()
    }

    /// How many answers are here, kept ones among them.
    pub(crate) fn len(&self) -> usize {
        self.shelf.len()
    }
}
