use std::collections::VecDeque;

use kwg_decide::{ClaimFailure, SampleKey, VersionSplit};
use kwg_model::{
    BurnVerdict, CallOutcome, CallSubmission, ClaimStub, HomeAddress, MonoTime, NotRunReason,
    PoolName, ServiceTier, TargetName, TicketKey, UnknownReason, VersionMove, VersionName,
};

use super::{EventKind, TrafficIdentity, TrafficOptions, TrafficOutput, VersionSample};
use crate::filter::{
    BurnRequest, BurnStep, ClaimFilter, ClaimStep, FlowContext, FlowPipe, PlaceFilter, QueueFilter,
    RelayFilter, RelayStep,
};
use crate::{Admitted, Claimed, RequestFlow};

/// The filters behind admission, joined: queue, place, claim, dispatch, relay, settle.
///
/// Each method passes the item of one filter on to the next.
#[derive(Debug)]
pub(crate) struct TrafficPipeline {
    pub(crate) claim: ClaimFilter,
    pub(crate) relay: RelayFilter,
    queue: QueueFilter,
    place: PlaceFilter,
    /// Claimed requests whose target refused the connection, waiting for another one.
    replacing: VecDeque<RequestFlow<Claimed>>,
}

impl TrafficPipeline {
    pub(crate) fn new(identity: &TrafficIdentity, options: &TrafficOptions, seed: u64) -> Self {
        Self {
            claim: ClaimFilter::new(&identity.address, options.ledger),
            relay: RelayFilter::new(options),
            queue: QueueFilter::new(options.queue),
            place: PlaceFilter::new(options.placement, seed),
            replacing: VecDeque::new(),
        }
    }

    /// Lets an admitted request wait; what has to be shed for it is refused.
    pub(crate) fn enqueue(
        &mut self,
        context: &FlowContext<'_>,
        flow: RequestFlow<Admitted>,
        pipe: &mut FlowPipe<'_>,
    ) {
        let (tier, account) = (flow.tier(), flow.submission().account.clone());
        pipe.event(flow.key(), EventKind::Admitted { tier, account });
        for shed in self.queue.offer(flow) {
            self.refuse(context, shed, None, NotRunReason::Overload, pipe);
        }
    }

    /// Moves requests on as far as there is room at their targets.
    pub(crate) fn pump(&mut self, context: &FlowContext<'_>, pipe: &mut FlowPipe<'_>) {
        for _ in 0..self.replacing.len() {
            let Some(flow) = self.replacing.pop_front() else { break };
            match self.place.apply(context, flow.pool(), flow.tier(), flow.cost_tokens()) {
                Some(choice) => self.dispatch(context, flow.place_again(choice), pipe),
                None => self.replacing.push_back(flow),
            }
        }
        for pool in self.queue.busy_pools() {
            loop {
                let mut choice = None;
                let next = self.queue.pop(&pool, |flow| {
                    choice = self.place.apply(context, &pool, flow.tier(), flow.cost_tokens());
                    choice.is_some()
                });
                let (Some(flow), Some(choice)) = (next, choice) else { break };
                if !self.relay.has_readers(flow.key()) {
                    // Nobody waits for it and nothing was claimed: a resend finds it open.
                    self.relay.shelf().remove(flow.key());
                    continue;
                }
                let step = self.claim.apply(context, flow, choice, pipe);
                self.on_claim_step(context, step, pipe);
            }
        }
    }

    /// Refuses what waited too long, and drops what is past its time.
    pub(crate) fn expire(&mut self, context: &FlowContext<'_>, pipe: &mut FlowPipe<'_>) {
        for flow in self.queue.take_expired(context.now) {
            self.refuse(context, flow, None, NotRunReason::Deadline, pipe);
        }
        while self.replacing.front().is_some_and(|flow| flow.deadline() <= context.now) {
            let Some(flow) = self.replacing.pop_front() else { break };
            let (flow, stub) = flow.release();
            self.refuse(context, flow, Some(stub), NotRunReason::NoTarget, pipe);
        }
        self.relay.shelf().forget_old(context.now);
        self.claim.forget_old(context.now);
    }

    /// Ends a request that will not be run, once its home has burned the ticket.
    pub(crate) fn refuse(
        &mut self,
        context: &FlowContext<'_>,
        flow: RequestFlow<Admitted>,
        stub: Option<ClaimStub>,
        reason: NotRunReason,
        pipe: &mut FlowPipe<'_>,
    ) {
        let ticket = flow.ticket().clone();
        let request = BurnRequest { ticket, reason, tier: Some(flow.tier()) };
        let step = self.claim.burn(context, request, stub, pipe);
        self.on_burn_step(context, step, pipe);
    }

    pub(crate) fn on_burn_step(
        &mut self,
        context: &FlowContext<'_>,
        step: BurnStep,
        pipe: &mut FlowPipe<'_>,
    ) {
        let BurnStep::Settled(request, verdict) = step else { return };
        let (key, tier) = (request.ticket.key, request.tier);
        match verdict {
            BurnVerdict::Burned => {
                self.fail(&key, CallOutcome::NotRun(request.reason), tier, pipe);
            }
            BurnVerdict::HeldBy(holder) => self.join(context, &key, holder, pipe),
            BurnVerdict::Forgotten => {
                self.fail(&key, CallOutcome::Unknown(UnknownReason::AnswerGone), tier, pipe);
            }
            BurnVerdict::HomeGone | BurnVerdict::Moved(_) => self.search(context, &key, pipe),
        }
    }

    pub(crate) fn on_claim_step(
        &mut self,
        context: &FlowContext<'_>,
        step: ClaimStep,
        pipe: &mut FlowPipe<'_>,
    ) {
        match step {
            ClaimStep::Waiting => {}
            ClaimStep::Granted(flow) => self.dispatch(context, flow, pipe),
            ClaimStep::TimedOut(flow, stub) => {
                self.refuse(context, flow, Some(stub), NotRunReason::ClaimTimeout, pipe);
            }
            ClaimStep::Refused(failure, flow) => {
                self.on_claim_refused(context, failure, &flow, pipe);
            }
        }
    }

    fn on_claim_refused(
        &mut self,
        context: &FlowContext<'_>,
        failure: ClaimFailure,
        flow: &RequestFlow<Admitted>,
        pipe: &mut FlowPipe<'_>,
    ) {
        let (key, tier) = (flow.key(), Some(flow.tier()));
        match failure {
            ClaimFailure::HeldBy { holder } => self.join(context, key, holder, pipe),
            ClaimFailure::Burned => {
                self.fail(key, CallOutcome::NotRun(NotRunReason::TicketSpent), tier, pipe);
            }
            ClaimFailure::Forgotten => {
                self.fail(key, CallOutcome::Unknown(UnknownReason::AnswerGone), tier, pipe);
            }
            ClaimFailure::HomeGone | ClaimFailure::Moved { .. } => self.search(context, key, pipe),
        }
    }

    fn dispatch(
        &mut self,
        context: &FlowContext<'_>,
        flow: RequestFlow<Claimed>,
        pipe: &mut FlowPipe<'_>,
    ) {
        let (order, flow) = flow.dispatch(context.now);
        self.relay.start(flow, pipe);
        pipe.outputs.push(TrafficOutput::Dispatch(Box::new(order)));
    }

    /// Reads the answer from the core that runs the request.
    pub(crate) fn join(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        holder: HomeAddress,
        pipe: &mut FlowPipe<'_>,
    ) {
        if holder == context.identity.address || !context.is_alive(&holder) {
            // This core held the ticket and no longer keeps the answer, or the holder is gone.
            return self.search(context, key, pipe);
        }
        let (recovery, shelf) = self.relay.recovery();
        recovery.join(shelf, context, key, holder, pipe);
    }

    /// Reads the answer from its target.
    pub(crate) fn search(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        pipe: &mut FlowPipe<'_>,
    ) {
        let (recovery, shelf) = self.relay.recovery();
        let step = recovery.search(shelf, context, key, pipe);
        self.on_relay_step(context, step, pipe);
    }

    pub(crate) fn on_relay_step(
        &mut self,
        context: &FlowContext<'_>,
        step: RelayStep,
        pipe: &mut FlowPipe<'_>,
    ) {
        match step {
            RelayStep::Continue => {}
            RelayStep::Failed(key, outcome) => self.fail_at_target(context, &key, outcome, pipe),
            RelayStep::Ended(flow) => {
                let figures = flow.figures();
                let tokens = flow.cost_tokens();
                self.place.note_answer(&figures.pool, &figures.target, tokens, figures.service);
                let micros = figures.service.as_micros() as f64 / tokens.max(1) as f64;
                let place = (&figures.pool, &figures.target, &figures.version);
                sample(context, flow.submission(), place, Some(micros), pipe);
                pipe.event(flow.key(), EventKind::answered(figures));
            }
            RelayStep::NotStarted(flow, order) => {
                let (pool, target) = (order.pool.clone(), order.target.clone());
                self.place.note_refusal(context.now, &pool, &target);
                pipe.event(flow.key(), EventKind::NotStarted { target });
                self.replacing.push_back(flow.take_back(*order));
            }
        }
    }

    /// Ends a request whose target failed: the version and the request are both suspected.
    fn fail_at_target(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        outcome: CallOutcome,
        pipe: &mut FlowPipe<'_>,
    ) {
        let Some(flow) = self.relay.fail(key, outcome, pipe) else {
            return pipe.event(key, EventKind::Failed { outcome, tier: None });
        };
        let (choice, submission) = (flow.choice(), flow.submission());
        let fingerprint = submission.fingerprint();
        let target = choice.target.clone();
        pipe.outputs.push(TrafficOutput::Crash { fingerprint, target });
        let place = (&choice.pool, &choice.target, &choice.version);
        sample(context, submission, place, None, pipe);
        pipe.event(key, EventKind::Failed { outcome, tier: Some(flow.tier()) });
    }

    fn fail(
        &mut self,
        key: &TicketKey,
        outcome: CallOutcome,
        tier: Option<ServiceTier>,
        pipe: &mut FlowPipe<'_>,
    ) {
        drop(self.relay.fail(key, outcome, pipe));
        pipe.event(key, EventKind::Failed { outcome, tier });
    }

    /// Takes a new view of the fleet: what waits for routers that have gone waits no longer.
    pub(crate) fn on_fleet(&mut self, context: &FlowContext<'_>, pipe: &mut FlowPipe<'_>) {
        self.place.retain_known(context.fleet);
        for step in self.relay.on_fleet(context, pipe) {
            self.on_relay_step(context, step, pipe);
        }
        let (claims, burns) = self.claim.stranded(context);
        for attempt in claims {
            let step = self.claim.strand_claim(attempt);
            self.on_claim_step(context, step, pipe);
        }
        for attempt in burns {
            let step = self.claim.strand_burn(attempt);
            self.on_burn_step(context, step, pipe);
        }
    }

    /// Whether nothing accepted is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.relay.running() == 0 && self.claim.is_idle()
    }

    /// How many requests wait for room.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len() + self.replacing.len()
    }

    /// How many requests of lower tiers than this one wait for room.
    pub(crate) fn queued_below(&self, tier: ServiceTier) -> usize {
        self.queue.len_below(tier)
    }

    /// How many records of tickets and answers there are.
    pub(crate) fn record_count(&self) -> usize {
        self.claim.entry_count() + self.claim.waiting() + self.relay.len()
    }

    /// When something here is due.
    pub(crate) fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let resumption = if self.queued() > 0 { self.place.next_resumption(now) } else { None };
        let waits = [self.queue.next_deadline(), self.relay.next_forget(), resumption];
        waits.into_iter().flatten().min()
    }
}

/// Counts an answer for the judge while a version move is under way in its pool.
///
/// The canary's target is kept full, which slows all its answers: during the canary the old
/// version is counted there only, so that like is compared with like.
fn sample(
    context: &FlowContext<'_>,
    submission: &CallSubmission,
    (pool, target, version): (&PoolName, &TargetName, &VersionName),
    micros: Option<f64>,
    pipe: &mut FlowPipe<'_>,
) {
    let Some(row) = context.fleet.tables.pools.get(pool) else { return };
    let elsewhere = VersionSplit::filled_first(row).is_some_and(|filled| filled != target);
    if elsewhere || row.version_move.as_ref().is_none_or(VersionMove::has_ended) {
        return;
    }
    let key =
        SampleKey { pool: pool.clone(), route: submission.route.clone(), version: version.clone() };
    let sample =
        VersionSample { key, failed: micros.is_none(), micros_per_token: micros.unwrap_or(0.0) };
    pipe.outputs.push(TrafficOutput::Sample(sample));
}
