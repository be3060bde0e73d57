use std::collections::HashMap;
use std::sync::Arc;

use kwg_model::{
    AccountName, CallSubmission, DispatchTicket, FleetSnapshot, HomeAddress, MonoTime,
    NotRunReason, ResumeToken, ServiceTier, TicketKey,
};

use super::traffic_pipeline::TrafficPipeline;
use super::{
    CallerKey, CallerReply, TargetEvent, TrafficIdentity, TrafficInput, TrafficMessage,
    TrafficOptions, TrafficOutput,
};
use crate::answer::{AnswerRecord, ReaderAddress};
use crate::filter::{AdmitFilter, FlowContext, FlowPipe};
use crate::pending::{DrainHandler, DrainStep, TicketHandler, TimerKey, TimerQueue};
use crate::{CallRejection, RequestFlow};

/// A traffic core: a state machine that admits, queues, claims, dispatches and relays requests.
///
/// [`step`](Self::step) is its only entry point.
/// The core is deterministic: the same seed and inputs produce the same outputs.
///
/// ```
/// use kwg_flow::{TrafficCore, TrafficIdentity, TrafficInput, TrafficOptions};
/// use kwg_model::*;
///
/// let address = HomeAddress { instance: InstanceName::new("r1")?, incarnation: 1, shard: 0 };
/// let identity = TrafficIdentity {
///     address,
///     domain: DomainName::new("ost-graz")?,
///     region: RegionName::new("ost")?,
///     shards: 1,
/// };
/// let mut core = TrafficCore::new(identity, TrafficOptions::default(), 7);
/// assert!(core.step(MonoTime::ZERO, TrafficInput::Tick).is_empty());
/// # Ok::<(), NameError>(())
/// ```
#[derive(Debug)]
pub struct TrafficCore {
    identity: TrafficIdentity,
    options: TrafficOptions,
    fleet: Arc<FleetSnapshot>,
    pipeline: TrafficPipeline,
    tickets: TicketHandler,
    drain: DrainHandler,
    callers: HashMap<CallerKey, TicketKey>,
    timers: TimerQueue,
    outputs: Vec<TrafficOutput>,
}

/// Borrows the parts of a core that its filters need as separate fields.
macro_rules! split_borrows {
    ($core:ident, $now:expr => $context:ident, $pipe:ident) => {
        let $context = FlowContext {
            now: $now,
            fleet: &$core.fleet,
            identity: &$core.identity,
            options: &$core.options,
        };
        let mut $pipe = FlowPipe { timers: &mut $core.timers, outputs: &mut $core.outputs };
    };
}

impl TrafficCore {
    /// Creates a core with an empty fleet snapshot.
    ///
    /// Until the first [`TrafficInput::Fleet`] no route is known, so no submission is admitted.
    #[must_use]
    pub fn new(identity: TrafficIdentity, options: TrafficOptions, seed: u64) -> Self {
        Self {
            pipeline: TrafficPipeline::new(&identity, &options, seed),
            tickets: TicketHandler::default(),
            drain: DrainHandler::default(),
            callers: HashMap::new(),
            timers: TimerQueue::default(),
            outputs: Vec::new(),
            fleet: Arc::default(),
            identity,
            options,
        }
    }

    /// Processes one input and returns the actions to perform.
    pub fn step(&mut self, now: MonoTime, input: TrafficInput) -> Vec<TrafficOutput> {
        match input {
            TrafficInput::Submit { caller, submission } => self.on_submit(now, caller, *submission),
            TrafficInput::Mint { caller, account, count, other_domain } => {
                self.on_mint(now, caller, account, count, other_domain);
            }
            TrafficInput::CallerDisconnected { caller } => self.on_caller_disconnected(now, caller),
            TrafficInput::Peer { from, message } => self.on_peer(now, from, message),
            TrafficInput::Target { key, event } => self.on_target(now, &key, event),
            TrafficInput::KeyBound { request, ticket } => self.on_key_bound(now, request, ticket),
            TrafficInput::Fleet(fleet) => self.on_fleet(now, fleet),
            TrafficInput::Drain => self.drain.begin(),
            TrafficInput::Tick => {}
        }
        self.run_timers(now);
        split_borrows!(self, now => context, pipe);
        self.pipeline.expire(&context, &mut pipe);
        self.pipeline.advance_queues(&context, &mut pipe);
        self.finish_drain(now);
        self.remove_finished_callers();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time of the next required [`TrafficInput::Tick`], if any.
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        self.timers.next().into_iter().chain(self.pipeline.next_wake(now)).min()
    }

    /// Returns the number of requests that wait for capacity.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.pipeline.queued_count()
    }

    /// Returns the number of requests of lower tiers than `tier` that wait for capacity.
    #[must_use]
    pub fn queued_count_below(&self, tier: ServiceTier) -> usize {
        self.pipeline.queued_count_below(tier)
    }

    /// Returns the number of answers that have not ended.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.pipeline.relay.running_count()
    }

    /// Returns the number of records of tickets and answers held by the core.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.pipeline.record_count()
    }

    fn on_submit(&mut self, now: MonoTime, caller: CallerKey, mut submission: CallSubmission) {
        if submission.ticket.is_none() && submission.idempotency_key.is_some() {
            return self.on_keyed(now, caller, submission);
        }
        let ticket = match self.ticket_for(now, &mut submission) {
            Ok(ticket) => ticket,
            Err(rejection) => return self.reply(caller, CallerReply::Rejected(rejection)),
        };
        let key = ticket.key.clone();
        split_borrows!(self, now => context, pipe);
        let terms = match AdmitFilter::apply(&context, &submission) {
            Ok(terms) => terms,
            Err(rejection) => return self.reply(caller, CallerReply::Rejected(rejection)),
        };
        let ticketed = CallerReply::Ticketed(ticket.clone());
        pipe.outputs.push(TrafficOutput::Reply { caller, reply: ticketed });
        self.callers.insert(caller, key.clone());
        let reader = ReaderAddress::Caller(caller);
        if self.pipeline.relay.attach(&key, reader.clone(), submission.offset, &mut pipe) {
            return;
        }
        let (account, non_idempotent) = (submission.account.clone(), submission.non_idempotent);
        let mut record = AnswerRecord::new(account, terms.pool.clone(), non_idempotent);
        record.attach(reader, submission.offset);
        record.token = submission.resume.take();
        let resumes = record.token.is_some();
        self.pipeline.relay.open(&key, record);
        if resumes {
            return self.pipeline.search(&context, &key, &mut pipe);
        }
        if let Some(holder) = self.pipeline.claim.holder(&key).cloned() {
            return self.pipeline.join(&context, &key, holder, &mut pipe);
        }
        if submission.join_only {
            self.pipeline.relay.store().remove(&key);
            return self.reply(caller, CallerReply::Rejected(CallRejection::NotHere));
        }
        let flow = RequestFlow::receive(now, ticket, submission);
        let flow = flow.admit(terms.pool, terms.tier, terms.time_limit);
        if self.drain.is_draining() {
            return self.pipeline.refuse(&context, flow, None, NotRunReason::Draining, &mut pipe);
        }
        let has_poison = !context.fleet.poison.is_empty();
        if has_poison && context.fleet.poison.contains(&flow.submission().fingerprint()) {
            return self.pipeline.refuse(&context, flow, None, NotRunReason::Poisoned, &mut pipe);
        }
        self.pipeline.enqueue(&context, flow, &mut pipe);
    }

    /// Requests a ticket for a submission with an idempotency key, and then binds the key to it.
    fn on_keyed(&mut self, now: MonoTime, caller: CallerKey, submission: CallSubmission) {
        if self.drain.is_draining() {
            return self.reply(caller, CallerReply::Rejected(CallRejection::ShuttingDown));
        }
        split_borrows!(self, now => context, pipe);
        self.tickets.on_keyed(&context, &mut self.pipeline.claim, caller, submission, &mut pipe);
    }

    /// Continues with the ticket that the key is bound to, as if the caller had supplied it.
    fn on_key_bound(&mut self, now: MonoTime, request: u64, ticket: Option<DispatchTicket>) {
        let Some(ticket) = ticket else {
            return self.tickets.reject_keyed(
                request,
                CallRejection::StoreOutage,
                &mut self.outputs,
            );
        };
        let Some(mut pending) = self.tickets.take_submission(request) else { return };
        if ticket.account != pending.submission.account {
            let rejection = CallRejection::BadBinding;
            return self.reply(pending.caller, CallerReply::Rejected(rejection));
        }
        pending.submission.ticket = Some(ticket);
        self.on_submit(now, pending.caller, pending.submission);
    }

    /// Returns the ticket supplied by the caller, or mints one.
    fn ticket_for(
        &mut self,
        now: MonoTime,
        submission: &mut CallSubmission,
    ) -> Result<DispatchTicket, CallRejection> {
        if let Some(ticket) = submission.ticket.take() {
            let matches = |token: &ResumeToken| {
                token.key == ticket.key && token.account == submission.account
            };
            let mismatch = submission.resume.as_ref().is_some_and(|token| !matches(token));
            return if mismatch { Err(CallRejection::TokenMismatch) } else { Ok(ticket) };
        }
        if submission.non_idempotent || submission.join_only || submission.resume.is_some() {
            return Err(CallRejection::TicketRequired);
        }
        if self.drain.is_draining() {
            return Err(CallRejection::ShuttingDown);
        }
        let minted = self.pipeline.claim.mint(now, &submission.account, 1);
        let minted = minted.ok_or(CallRejection::ShuttingDown)?;
        let tickets = minted.map_err(|error| CallRejection::ticket_limit(&error))?;
        tickets.into_iter().next().ok_or(CallRejection::ShuttingDown)
    }

    fn on_mint(
        &mut self,
        now: MonoTime,
        caller: CallerKey,
        account: AccountName,
        count: u16,
        other_domain: bool,
    ) {
        if other_domain {
            split_borrows!(self, now => context, pipe);
            return self.tickets.request_remote(&context, caller, account, count, &mut pipe);
        }
        let minted = match self.drain.is_draining() {
            true => None,
            false => self.pipeline.claim.mint(now, &account, usize::from(count)),
        };
        let reply = match minted {
            Some(Ok(tickets)) => CallerReply::Tickets(tickets),
            Some(Err(error)) => CallerReply::Rejected(CallRejection::ticket_limit(&error)),
            None => CallerReply::Rejected(CallRejection::ShuttingDown),
        };
        self.reply(caller, reply);
    }

    fn on_caller_disconnected(&mut self, now: MonoTime, caller: CallerKey) {
        let Some(key) = self.callers.remove(&caller) else {
            return;
        };
        split_borrows!(self, now => context, pipe);
        self.pipeline.relay.detach(&context, &key, &ReaderAddress::Caller(caller), &mut pipe);
    }

    fn on_peer(&mut self, now: MonoTime, from: HomeAddress, message: TrafficMessage) {
        split_borrows!(self, now => context, pipe);
        match message {
            TrafficMessage::Claim { ticket, claim_id } => {
                self.pipeline.claim.serve_claim(&context, &from, &ticket, &claim_id, &mut pipe);
            }
            TrafficMessage::ClaimReply { attempt, verdict } => {
                let step = self.pipeline.claim.on_claim_reply(attempt, verdict, &mut pipe);
                self.pipeline.on_claim_step(&context, step, &mut pipe);
            }
            TrafficMessage::Revoke { ticket, claim_id } => {
                self.pipeline.claim.serve_revoke(&context, &from, &ticket, &claim_id, &mut pipe);
            }
            TrafficMessage::RevokeReply { attempt, verdict } => {
                let step = self.pipeline.claim.on_revoke_reply(attempt, verdict, &mut pipe);
                self.pipeline.on_revoke_step(&context, step, &mut pipe);
            }
            TrafficMessage::Mint { request, account, count } => {
                let draining = self.drain.is_draining();
                let minted = self.pipeline.claim.mint(now, &account, usize::from(count));
                let tickets = minted.filter(|_| !draining).and_then(Result::ok).unwrap_or_default();
                pipe.send(&from, TrafficMessage::MintReply { request, tickets });
            }
            TrafficMessage::MintReply { request, tickets } => {
                self.tickets.on_minted(request, tickets, pipe.outputs);
            }
            TrafficMessage::Attach { key, account, offset } => {
                self.pipeline.relay.serve_attach(&from, &key, &account, offset, &mut pipe);
            }
            TrafficMessage::Answer { key, event } => {
                let step = self.pipeline.relay.on_answer(&context, &from, &key, event, &mut pipe);
                self.pipeline.on_relay_step(&context, step, &mut pipe);
            }
            TrafficMessage::AnswerMissing { key } => {
                let (recovery, store) = self.pipeline.relay.recovery();
                let step = recovery.on_missing(store, &context, &from, &key, &mut pipe);
                self.pipeline.on_relay_step(&context, step, &mut pipe);
            }
            TrafficMessage::Detach { key } => {
                self.pipeline.relay.detach(&context, &key, &ReaderAddress::Peer(from), &mut pipe);
            }
            TrafficMessage::Inherit { export } => {
                let home = export.home.clone();
                if !self.drain.is_draining() && self.pipeline.claim.inherit(now, export) {
                    pipe.outputs.push(TrafficOutput::Inherited { home: home.clone() });
                    pipe.send(&from, TrafficMessage::InheritReply { home });
                }
            }
            TrafficMessage::InheritReply { home } => self.drain.on_inherit_reply(&home),
        }
    }

    fn on_target(&mut self, now: MonoTime, key: &TicketKey, event: TargetEvent) {
        split_borrows!(self, now => context, pipe);
        let step = self.pipeline.relay.on_target(&context, key, event, &mut pipe);
        self.pipeline.on_relay_step(&context, step, &mut pipe);
    }

    fn on_fleet(&mut self, now: MonoTime, fleet: Arc<FleetSnapshot>) {
        self.fleet = fleet;
        split_borrows!(self, now => context, pipe);
        self.pipeline.on_fleet(&context, &mut pipe);
    }

    fn run_timers(&mut self, now: MonoTime) {
        while let Some(timer) = self.timers.pop_due(now) {
            split_borrows!(self, now => context, pipe);
            match timer {
                TimerKey::Claim(attempt) => {
                    let step = self.pipeline.claim.on_claim_timer(&context, attempt, &mut pipe);
                    self.pipeline.on_claim_step(&context, step, &mut pipe);
                }
                TimerKey::Revoke(attempt) => {
                    let step = self.pipeline.claim.on_revoke_timer(&context, attempt, &mut pipe);
                    self.pipeline.on_revoke_step(&context, step, &mut pipe);
                }
                TimerKey::Mint(request) => {
                    self.tickets.on_minted(request, Vec::new(), pipe.outputs);
                }
                TimerKey::Join(key) => {
                    let (recovery, store) = self.pipeline.relay.recovery();
                    let step = recovery.on_join_timer(store, &context, &key, &mut pipe);
                    self.pipeline.on_relay_step(&context, step, &mut pipe);
                }
                TimerKey::Resume(key) => {
                    let (recovery, store) = self.pipeline.relay.recovery();
                    let step = recovery.resume_at_target(store, &context, &key, &mut pipe);
                    self.pipeline.on_relay_step(&context, step, &mut pipe);
                }
                TimerKey::Orphan(key) => self.pipeline.relay.on_orphan_timer(&key, &mut pipe),
                TimerKey::HandOver => self.drain.resend_ledgers(&context, &mut pipe),
            }
        }
    }

    fn finish_drain(&mut self, now: MonoTime) {
        let idle = self.pipeline.is_idle() && self.tickets.is_empty();
        if !self.drain.is_draining() || !idle {
            return;
        }
        split_borrows!(self, now => context, pipe);
        match self.drain.finish(&context, &mut self.pipeline.claim, &mut pipe) {
            DrainStep::Waiting => {}
            DrainStep::Ended { handed_over } => {
                self.outputs.push(TrafficOutput::Drained { handed_over });
            }
        }
    }

    /// Removes callers that have received their last reply.
    fn remove_finished_callers(&mut self) {
        for output in &self.outputs {
            if let TrafficOutput::Reply { caller, reply } = output
                && reply.is_last()
            {
                self.callers.remove(caller);
            }
        }
    }

    fn reply(&mut self, caller: CallerKey, reply: CallerReply) {
        self.outputs.push(TrafficOutput::Reply { caller, reply });
    }
}
