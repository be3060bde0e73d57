use std::collections::HashMap;

use kwg_model::{
    AccountName, ByteChunk, CallOutcome, HomeAddress, MonoTime, PoolKind, TicketKey, UnknownReason,
};

use super::recover_filter::attach_output;
use super::{FlowContext, FlowPipe, RecoverFilter, RelayStep};
use crate::answer::{AnswerRecord, AnswerStage, AnswerStore, ReaderAddress};
use crate::pending::TimerKey;
use crate::{
    AnswerEvent, Dispatched, EventKind, RequestFlow, TargetEvent, TrafficMessage, TrafficOptions,
    TrafficOutput,
};

/// Relays answers from targets and other cores to their readers, and recovers answers whose stream
/// was interrupted.
#[derive(Debug)]
pub(crate) struct RelayFilter {
    store: AnswerStore,
    /// Requests that this core dispatched and whose stream has not been interrupted.
    running: HashMap<TicketKey, RequestFlow<Dispatched>>,
    recover: RecoverFilter,
}

impl RelayFilter {
    pub(crate) fn new(options: &TrafficOptions) -> Self {
        Self {
            store: AnswerStore::new(options.answer_retention, options.answer_max_bytes),
            running: HashMap::new(),
            recover: RecoverFilter::default(),
        }
    }

    /// Returns the recovery filter together with the answers.
    pub(crate) fn recovery(&mut self) -> (&mut RecoverFilter, &mut AnswerStore) {
        (&mut self.recover, &mut self.store)
    }

    pub(crate) fn store(&mut self) -> &mut AnswerStore {
        &mut self.store
    }

    /// Attaches a reader to an answer. Returns `false` if the answer is not here.
    pub(crate) fn attach(
        &mut self,
        key: &TicketKey,
        reader: ReaderAddress,
        offset: u64,
        pipe: &mut FlowPipe<'_>,
    ) -> bool {
        let Some(record) = self.store.get_mut(key) else {
            return false;
        };
        record.attach(reader, offset);
        record.deliver(key, pipe.outputs);
        true
    }

    /// Attaches another core to an answer.
    ///
    /// An answer that is itself relayed from elsewhere is reported as missing.
    pub(crate) fn serve_attach(
        &mut self,
        from: &HomeAddress,
        key: &TicketKey,
        account: &AccountName,
        offset: u64,
        pipe: &mut FlowPipe<'_>,
    ) {
        let is_source = self.store.get_mut(key).is_some_and(|record| {
            record.account == *account && !matches!(record.stage, AnswerStage::Joined(_))
        });
        if !is_source || !self.attach(key, ReaderAddress::Peer(from.clone()), offset, pipe) {
            pipe.send(from, TrafficMessage::AnswerMissing { key: key.clone() });
        }
    }

    /// Adds the record of a request.
    pub(crate) fn open(&mut self, key: &TicketKey, record: AnswerRecord) {
        self.store.insert(key.clone(), record);
    }

    /// Returns whether an answer has readers.
    pub(crate) fn has_readers(&mut self, key: &TicketKey) -> bool {
        self.store.get_mut(key).is_some_and(|record| !record.readers.is_empty())
    }

    /// Detaches a reader. An answer without readers is stopped after the grace period.
    pub(crate) fn detach(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        reader: &ReaderAddress,
        pipe: &mut FlowPipe<'_>,
    ) {
        let Some(record) = self.store.get_mut(key) else {
            return;
        };
        if record.detach(reader) && record.readers.is_empty() {
            let at = context.now + context.options.orphan_grace;
            pipe.timers.set(at, TimerKey::Orphan(key.clone()));
        }
    }

    /// Starts to relay the answer of a dispatched request.
    ///
    /// Readers receive its head before the order is sent.
    pub(crate) fn start(&mut self, flow: RequestFlow<Dispatched>, pipe: &mut FlowPipe<'_>) {
        let key = flow.key().clone();
        if let Some(record) = self.store.get_mut(&key) {
            record.stage = AnswerStage::Running;
            record.token = Some(flow.resume_token());
            record.deliver(&key, pipe.outputs);
        }
        let choice = flow.choice();
        let (target, version) = (choice.target.clone(), choice.version.clone());
        pipe.event(&key, EventKind::Dispatched { target, version });
        self.running.insert(key, flow);
    }

    /// Ends an answer that will not be completed. Returns the request if this core dispatched it.
    pub(crate) fn fail(
        &mut self,
        key: &TicketKey,
        outcome: CallOutcome,
        pipe: &mut FlowPipe<'_>,
    ) -> Option<RequestFlow<Dispatched>> {
        let flow = self.running.remove(key).or(self.recover.end(key));
        if let Some(mut record) = self.store.remove(key) {
            record.fail(key, outcome, pipe.outputs);
        }
        flow
    }

    /// Handles an event of an answer that another core relays.
    pub(crate) fn on_answer(
        &mut self,
        context: &FlowContext<'_>,
        from: &HomeAddress,
        key: &TicketKey,
        event: AnswerEvent,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let joined = |record: &&mut AnswerRecord| matches!(&record.stage, AnswerStage::Joined(holder) if holder == from);
        let Some(record) = self.store.get_mut(key).filter(joined) else {
            let message = TrafficMessage::Detach { key: key.clone() };
            pipe.outputs.push(TrafficOutput::Send { to: from.clone(), message });
            return RelayStep::Continue;
        };
        match event {
            AnswerEvent::Head(token) => record.token = Some(token),
            AnswerEvent::Part { offset, chunk } => {
                if !record.buffer.append(offset, &chunk) {
                    pipe.outputs.push(attach_output(key, record, from.clone()));
                }
            }
            AnswerEvent::End { length } if record.buffer.finish(length) => {
                record.stage = AnswerStage::Ended;
                pipe.event(key, EventKind::Recovered { length });
            }
            AnswerEvent::End { .. } => pipe.outputs.push(attach_output(key, record, from.clone())),
            AnswerEvent::Failed(outcome) => return RelayStep::Failed(key.clone(), outcome),
        }
        record.deliver(key, pipe.outputs);
        if record.stage == AnswerStage::Ended {
            self.store.retain(context.now, key.clone());
        }
        RelayStep::Continue
    }

    /// Removes an answer that still has no readers after the grace period, and cancels its stream.
    ///
    /// A non-idempotent request that is running is not stopped.
    pub(crate) fn on_orphan_timer(&mut self, key: &TicketKey, pipe: &mut FlowPipe<'_>) {
        let Some(record) = self.store.get_mut(key) else {
            return;
        };
        let is_orphaned = record.readers.is_empty()
            && matches!(record.stage, AnswerStage::Running | AnswerStage::Resuming);
        if record.stage == AnswerStage::Ended || !record.readers.is_empty() {
            return;
        }
        if let (true, false, Some(token)) =
            (is_orphaned, record.non_idempotent, record.token.take())
        {
            let (pool, target) = (token.pool, token.target);
            pipe.outputs.push(TrafficOutput::Cancel { key: key.clone(), pool, target });
            pipe.event(key, EventKind::Cancelled);
        } else if record.non_idempotent && is_orphaned {
            return;
        }
        self.running.remove(key);
        self.recover.end(key);
        self.store.remove(key);
    }

    /// Handles a report of the target client.
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
                self.recover.on_stream_missing(&mut self.store, context, key, pipe)
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
        let Some(record) = self.store.get_mut(key) else {
            return RelayStep::Continue;
        };
        if !record.buffer.append(offset, chunk) {
            return self.on_cut(context, key, pipe);
        }
        if let Some(flow) = self.running.get_mut(key) {
            flow.record_byte(context.now);
        }
        self.recover.record_byte(context, key, record);
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
        let Some(record) = self.store.get_mut(key) else {
            return RelayStep::Continue;
        };
        if !record.buffer.finish(length) {
            return self.on_cut(context, key, pipe);
        }
        record.stage = AnswerStage::Ended;
        record.deliver(key, pipe.outputs);
        self.store.retain(context.now, key.clone());
        let search_flow = self.recover.end(key);
        match self.running.remove(key).or(search_flow) {
            Some(flow) => RelayStep::Ended(Box::new(flow.answer(context.now, length))),
            None => {
                pipe.event(key, EventKind::Recovered { length });
                RelayStep::Continue
            }
        }
    }

    /// Handles an interrupted stream: resumes it at its target. A request to a plain service, which
    /// keeps no streams, fails.
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
            self.recover.begin(&mut self.store, context, flow);
        }
        self.recover.on_stream_broken(&mut self.store, context, key, pipe)
    }

    /// Detaches readers at routers that are no longer alive, and searches for answers that such
    /// routers were relaying.
    pub(crate) fn on_fleet(
        &mut self,
        context: &FlowContext<'_>,
        pipe: &mut FlowPipe<'_>,
    ) -> Vec<RelayStep> {
        let mut unreachable = Vec::new();
        for (key, record) in self.store.iter_mut() {
            record.readers.retain(|reader| match &reader.address {
                ReaderAddress::Peer(peer) => context.is_alive(peer),
                ReaderAddress::Caller(_) => true,
            });
            if record.readers.is_empty() && record.stage == AnswerStage::Running {
                let at = context.now + context.options.orphan_grace;
                pipe.timers.set(at, TimerKey::Orphan(key.clone()));
            }
            if matches!(&record.stage, AnswerStage::Joined(holder) if !context.is_alive(holder)) {
                unreachable.push(key.clone());
            }
        }
        let (store, recover) = (&mut self.store, &mut self.recover);
        unreachable.iter().map(|key| recover.search(store, context, key, pipe)).collect()
    }

    /// Returns the time at which the oldest retained answer expires.
    pub(crate) fn next_expiry(&self) -> Option<MonoTime> {
        self.store.next_expiry()
    }

    /// Returns the number of answers that have not ended.
    pub(crate) fn running_count(&self) -> usize {
        self.store.running_count()
    }

    /// Returns the number of answers, including retained ones.
    pub(crate) fn len(&self) -> usize {
        self.store.len()
    }
}
