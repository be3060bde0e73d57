use std::collections::VecDeque;

use kwg_model::{
    CallOutcome, HomeAddress, PoolKind, ResumeToken, TargetName, TicketKey, UnknownReason,
};

use super::{FlowContext, FlowPipe, RelayStep};
use crate::answer::{AnswerRecord, AnswerStage, AnswerStore};
use crate::pending::{SearchStep, SearchTable, TargetSearch, TimerKey};
use crate::{Dispatched, EventKind, RequestFlow, ResumeOrder, TrafficMessage, TrafficOutput};

/// Recovers answers whose stream was interrupted: from the core that runs the request while that
/// core is alive, otherwise from the target. It never dispatches a request.
#[derive(Debug, Default)]
pub(crate) struct RecoverFilter {
    searches: SearchTable,
}

impl RecoverFilter {
    /// Starts to resume a request of this core at its own target after the stream was
    /// interrupted.
    pub(crate) fn begin(
        &mut self,
        store: &mut AnswerStore,
        context: &FlowContext<'_>,
        flow: RequestFlow<Dispatched>,
    ) {
        let key = flow.key().clone();
        let choice = flow.choice();
        let search = TargetSearch {
            pool: choice.pool.clone(),
            current: choice.target.clone(),
            others: VecDeque::new(),
            attempts_left: context.options.max_resume_attempts,
            reason: UnknownReason::TargetFailed,
            flow: Some(flow),
        };
        if let Some(record) = store.get_mut(&key) {
            record.stage = AnswerStage::Resuming;
        }
        self.searches.insert(key, search);
    }

    /// Ends a search. Returns the request if this core dispatched it.
    pub(crate) fn end(&mut self, key: &TicketKey) -> Option<RequestFlow<Dispatched>> {
        self.searches.take(key).and_then(|search| search.flow)
    }

    /// Records received bytes of a resumed stream: restores the full number of attempts and sets
    /// the resume token if there is none.
    pub(crate) fn record_byte(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        record: &mut AnswerRecord,
    ) {
        let Some(search) = self.searches.get_mut(key) else {
            return;
        };
        search.attempts_left = context.options.max_resume_attempts;
        if let Some(flow) = &mut search.flow {
            flow.record_byte(context.now);
        }
        record.token.get_or_insert_with(|| ResumeToken {
            key: key.clone(),
            account: record.account.clone(),
            pool: search.pool.clone(),
            target: search.current.clone(),
        });
    }

    /// Reads the answer from the core that runs the request.
    pub(crate) fn join(
        &mut self,
        store: &mut AnswerStore,
        context: &FlowContext<'_>,
        key: &TicketKey,
        holder: HomeAddress,
        pipe: &mut FlowPipe<'_>,
    ) {
        let Some(record) = store.get_mut(key) else {
            return;
        };
        pipe.event(key, EventKind::Joined { holder: holder.clone() });
        record.stage = AnswerStage::Joined(holder.clone());
        pipe.outputs.push(attach_output(key, record, holder));
        let at = context.now + context.options.join_check_interval;
        pipe.timers.set(at, TimerKey::Join(key.clone()));
    }

    /// Checks a joined answer: repeats the request to the holder if there was no progress, or
    /// searches the targets if the holder is no longer alive.
    pub(crate) fn on_join_timer(
        &mut self,
        store: &mut AnswerStore,
        context: &FlowContext<'_>,
        key: &TicketKey,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let Some(record) = store.get_mut(key) else {
            return RelayStep::Continue;
        };
        let AnswerStage::Joined(holder) = record.stage.clone() else {
            return RelayStep::Continue;
        };
        if !context.is_alive(&holder) {
            return self.search(store, context, key, pipe);
        }
        let length = record.buffer.len();
        if std::mem::replace(&mut record.checked_length, length) == length {
            pipe.outputs.push(attach_output(key, record, holder));
        }
        let at = context.now + context.options.join_check_interval;
        pipe.timers.set(at, TimerKey::Join(key.clone()));
        RelayStep::Continue
    }

    /// Handles a reply that the holder no longer has a joined answer: searches the targets.
    pub(crate) fn on_missing(
        &mut self,
        store: &mut AnswerStore,
        context: &FlowContext<'_>,
        from: &HomeAddress,
        key: &TicketKey,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let stage = store.get_mut(key).map(|record| record.stage.clone());
        if stage != Some(AnswerStage::Joined(from.clone())) {
            return RelayStep::Continue;
        }
        self.search(store, context, key, pipe)
    }

    /// Handles a report that the current target does not hold the stream.
    pub(crate) fn on_stream_missing(
        &mut self,
        store: &mut AnswerStore,
        context: &FlowContext<'_>,
        key: &TicketKey,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let step = self.searches.on_missing(key, context.options.max_resume_attempts);
        self.apply_step(store, context, key, step, pipe)
    }

    /// Handles a failed or interrupted connection to the current target.
    pub(crate) fn on_stream_broken(
        &mut self,
        store: &mut AnswerStore,
        context: &FlowContext<'_>,
        key: &TicketKey,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let step = self.searches.on_broken(key, context.options.max_resume_attempts);
        self.apply_step(store, context, key, step, pipe)
    }

    fn apply_step(
        &mut self,
        store: &mut AnswerStore,
        context: &FlowContext<'_>,
        key: &TicketKey,
        step: SearchStep,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        match step {
            SearchStep::None => RelayStep::Continue,
            SearchStep::Retry(attempts) => {
                let pause = context.options.resume_backoff * 2_u32.saturating_pow(attempts - 1);
                pipe.timers.set(context.now + pause, TimerKey::Resume(key.clone()));
                RelayStep::Continue
            }
            SearchStep::Next => self.resume_at_target(store, context, key, pipe),
            SearchStep::Exhausted(reason) => {
                RelayStep::Failed(key.clone(), CallOutcome::Unknown(reason))
            }
        }
    }

    /// Orders the target client to read the stream from the current target of a search.
    ///
    /// Moves on to the next target if the current one is no longer in the pool table.
    pub(crate) fn resume_at_target(
        &mut self,
        store: &mut AnswerStore,
        context: &FlowContext<'_>,
        key: &TicketKey,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let Some(search) = self.searches.get_mut(key) else {
            return RelayStep::Continue;
        };
        let (pool, target) = (search.pool.clone(), search.current.clone());
        let row = context.fleet.tables.pools.get(&pool);
        let row = row.and_then(|row| row.targets.iter().find(|row| row.name == target));
        let Some(row) = row else {
            let step = self.searches.on_missing(key, context.options.max_resume_attempts);
            return self.apply_step(store, context, key, step, pipe);
        };
        let offset = store.get_mut(key).map_or(0, |record| record.buffer.len());
        let address = row.address;
        pipe.event(key, EventKind::Resumed { target: target.clone() });
        let order = ResumeOrder { key: key.clone(), pool, target, address, offset };
        pipe.outputs.push(TrafficOutput::Resume(order));
        RelayStep::Continue
    }

    /// Searches for the stream of a request that this core did not dispatch, or no longer retains.
    ///
    /// Queries up to `max_search_targets` targets of the pool, the one named by the resume token
    /// first, if there is one.
    pub(crate) fn search(
        &mut self,
        store: &mut AnswerStore,
        context: &FlowContext<'_>,
        key: &TicketKey,
        pipe: &mut FlowPipe<'_>,
    ) -> RelayStep {
        let reason = UnknownReason::HomeEnded;
        let unknown = RelayStep::Failed(key.clone(), CallOutcome::Unknown(reason));
        let Some(record) = store.get_mut(key) else {
            return RelayStep::Continue;
        };
        let known = record.token.as_ref();
        let pool = known.map_or(&record.pool, |token| &token.pool);
        let row = context.fleet.tables.pools.get(pool);
        let Some(row) = row.filter(|row| row.kind == PoolKind::Engine) else {
            return unknown;
        };
        let known = known.map(|token| &token.target);
        let others = row.targets.iter().map(|target| &target.name);
        let others = others.filter(|target| Some(*target) != known);
        let candidates = known.into_iter().chain(others).take(context.options.max_search_targets);
        let mut candidates: VecDeque<TargetName> = candidates.cloned().collect();
        let Some(current) = candidates.pop_front() else {
            return unknown;
        };
        record.stage = AnswerStage::Resuming;
        let attempts_left = context.options.max_resume_attempts;
        let pool = row.name.clone();
        let search =
            TargetSearch { pool, current, others: candidates, attempts_left, reason, flow: None };
        self.searches.insert(key.clone(), search);
        self.resume_at_target(store, context, key, pipe)
    }
}

/// Returns the message that requests the missing part of an answer from its holder.
pub(super) fn attach_output(
    key: &TicketKey,
    record: &AnswerRecord,
    holder: HomeAddress,
) -> TrafficOutput {
    let message = TrafficMessage::Attach {
        key: key.clone(),
        account: record.account.clone(),
        offset: record.buffer.len(),
    };
    TrafficOutput::Send { to: holder, message }
}
