use std::collections::VecDeque;

use kwg_decide::{ClaimFailure, SampleKey, VersionSplit};
use kwg_model::{
    CallOutcome, CallSubmission, ClaimId, HomeAddress, MonoTime, NotRunReason, PoolName,
    RevokeVerdict, ServiceTier, TargetName, TicketKey, UnknownReason, VersionMove, VersionName,
};

use super::{EventKind, TrafficIdentity, TrafficOptions, TrafficOutput, VersionSample};
use crate::filter::{
    ClaimFilter, ClaimStep, FlowContext, FlowPipe, PlaceFilter, QueueFilter, RelayFilter,
    RelayStep, RevokeRequest, RevokeStep,
};
use crate::{Admitted, Claimed, RequestFlow};

/// Runs a request through the filters after admission: queue, placement, claim and relay.
///
/// Each method passes the output of one filter to the next.
#[derive(Debug)]
pub(crate) struct TrafficPipeline {
    pub(crate) claim: ClaimFilter,
    pub(crate) relay: RelayFilter,
    queue: QueueFilter,
    place: PlaceFilter,
    /// Claimed requests whose target refused the connection and that wait for another target.
    reassigning: VecDeque<RequestFlow<Claimed>>,
}

impl TrafficPipeline {
    pub(crate) fn new(identity: &TrafficIdentity, options: &TrafficOptions, seed: u64) -> Self {
        Self {
            claim: ClaimFilter::new(&identity.address, options.ledger),
            relay: RelayFilter::new(options),
            queue: QueueFilter::new(options.queue),
            place: PlaceFilter::new(options.placement, seed),
            reassigning: VecDeque::new(),
        }
    }

    /// Queues an admitted request and refuses the requests shed to free capacity for it.
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

    /// Advances queued requests while their pools have targets with free capacity.
    pub(crate) fn advance_queues(&mut self, context: &FlowContext<'_>, pipe: &mut FlowPipe<'_>) {
        for _ in 0..self.reassigning.len() {
            let Some(flow) = self.reassigning.pop_front() else { break };
            match self.place.apply(context, flow.pool(), flow.tier(), flow.cost_tokens()) {
                Some(choice) => self.dispatch(context, flow.reassign(choice), pipe),
                None => self.reassigning.push_back(flow),
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
                    // The request has no readers and nothing was claimed: the ticket stays open for
                    // a resend.
                    self.relay.store().remove(flow.key());
                    continue;
                }
                let step = self.claim.apply(context, flow, choice, pipe);
                self.on_claim_step(context, step, pipe);
            }
        }
    }

    /// Refuses requests past their deadline and removes expired records.
    pub(crate) fn expire(&mut self, context: &FlowContext<'_>, pipe: &mut FlowPipe<'_>) {
        for flow in self.queue.take_expired(context.now) {
            self.refuse(context, flow, None, NotRunReason::Deadline, pipe);
        }
        while self.reassigning.front().is_some_and(|flow| flow.deadline() <= context.now) {
            let Some(flow) = self.reassigning.pop_front() else { break };
            let (flow, claim_id) = flow.release();
            self.refuse(context, flow, Some(claim_id), NotRunReason::NoTarget, pipe);
        }
        self.relay.store().evict_expired(context.now);
        self.claim.evict_expired(context.now);
    }

    /// Starts to revoke the ticket of a request that is to be refused.
    ///
    /// Once revoked, the request ends as not run; if another core holds the claim, this core joins
    /// its answer.
    pub(crate) fn refuse(
        &mut self,
        context: &FlowContext<'_>,
        flow: RequestFlow<Admitted>,
        claim_id: Option<ClaimId>,
        reason: NotRunReason,
        pipe: &mut FlowPipe<'_>,
    ) {
        let ticket = flow.ticket().clone();
        let request = RevokeRequest { ticket, reason, tier: Some(flow.tier()) };
        let step = self.claim.revoke(context, request, claim_id, pipe);
        self.on_revoke_step(context, step, pipe);
    }

    pub(crate) fn on_revoke_step(
        &mut self,
        context: &FlowContext<'_>,
        step: RevokeStep,
        pipe: &mut FlowPipe<'_>,
    ) {
        let RevokeStep::Settled(request, verdict) = step else { return };
        let (key, tier) = (request.ticket.key, request.tier);
        match verdict {
            RevokeVerdict::Revoked => {
                self.fail(&key, CallOutcome::NotRun(request.reason), tier, pipe);
            }
            RevokeVerdict::HeldBy(holder) => self.join(context, &key, holder, pipe),
            RevokeVerdict::Forgotten => {
                self.fail(&key, CallOutcome::Unknown(UnknownReason::AnswerExpired), tier, pipe);
            }
            RevokeVerdict::HomeEnded | RevokeVerdict::Moved(_) => self.search(context, &key, pipe),
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
            ClaimStep::TimedOut(flow, claim_id) => {
                self.refuse(context, flow, Some(claim_id), NotRunReason::ClaimTimeout, pipe);
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
            ClaimFailure::Revoked => {
                self.fail(key, CallOutcome::NotRun(NotRunReason::TicketSpent), tier, pipe);
            }
            ClaimFailure::Forgotten => {
                self.fail(key, CallOutcome::Unknown(UnknownReason::AnswerExpired), tier, pipe);
            }
            ClaimFailure::HomeEnded | ClaimFailure::Moved { .. } => self.search(context, key, pipe),
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

    /// Reads the answer from the core that runs the request, or searches for it at the targets if
    /// that core is this one or is not alive.
    pub(crate) fn join(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        holder: HomeAddress,
        pipe: &mut FlowPipe<'_>,
    ) {
        if holder == context.identity.address || !context.is_alive(&holder) {
            // This core held the ticket and no longer retains the answer, or the holder is
            // unreachable.
            return self.search(context, key, pipe);
        }
        let (recovery, store) = self.relay.recovery();
        recovery.join(store, context, key, holder, pipe);
    }

    /// Searches for the answer's stream at the target named by the token, then at other targets of
    /// the pool.
    pub(crate) fn search(
        &mut self,
        context: &FlowContext<'_>,
        key: &TicketKey,
        pipe: &mut FlowPipe<'_>,
    ) {
        let (recovery, store) = self.relay.recovery();
        let step = recovery.search(store, context, key, pipe);
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
                let measurements = flow.measurements();
                let tokens = flow.cost_tokens();
                self.place.record_answer(
                    &measurements.pool,
                    &measurements.target,
                    tokens,
                    measurements.service,
                );
                let micros_per_token =
                    measurements.service.as_micros() as f64 / tokens.max(1) as f64;
                let served_by = (&measurements.pool, &measurements.target, &measurements.version);
                record_sample(context, flow.submission(), served_by, Some(micros_per_token), pipe);
                pipe.event(flow.key(), EventKind::answered(measurements));
            }
            RelayStep::NotStarted(flow, order) => {
                let (pool, target) = (order.pool.clone(), order.target.clone());
                self.place.record_refusal(context.now, &pool, &target);
                pipe.event(flow.key(), EventKind::NotStarted { target });
                self.reassigning.push_back(flow.undo_dispatch(*order));
            }
        }
    }

    /// Ends a request whose target failed, and reports both the version and the request as possible
    /// causes.
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
        let served_by = (&choice.pool, &choice.target, &choice.version);
        record_sample(context, submission, served_by, None, pipe);
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

    /// Applies a new fleet snapshot: stops waiting for routers that are no longer alive.
    pub(crate) fn on_fleet(&mut self, context: &FlowContext<'_>, pipe: &mut FlowPipe<'_>) {
        self.place.retain_listed(context.fleet);
        for step in self.relay.on_fleet(context, pipe) {
            self.on_relay_step(context, step, pipe);
        }
        let (claims, revocations) = self.claim.orphaned(context);
        for attempt in claims {
            let step = self.claim.abort_claim(attempt);
            self.on_claim_step(context, step, pipe);
        }
        for attempt in revocations {
            let step = self.claim.abort_revoke(attempt);
            self.on_revoke_step(context, step, pipe);
        }
    }

    /// Returns whether no accepted request is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.relay.running_count() == 0 && self.claim.is_idle()
    }

    /// Returns the number of requests that wait for capacity.
    pub(crate) fn queued_count(&self) -> usize {
        self.queue.len() + self.reassigning.len()
    }

    /// Returns the number of requests of lower tiers than `tier` that wait for capacity.
    pub(crate) fn queued_count_below(&self, tier: ServiceTier) -> usize {
        self.queue.len_below(tier)
    }

    /// Returns the number of records of tickets and answers.
    pub(crate) fn record_count(&self) -> usize {
        self.claim.entry_count() + self.claim.outstanding_count() + self.relay.len()
    }

    /// Returns the earliest of the next queue deadline, the next answer expiry and, if requests
    /// wait, the next end of a target's pause.
    pub(crate) fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let resumption =
            if self.queued_count() > 0 { self.place.next_pause_end(now) } else { None };
        let waits = [self.queue.next_deadline(), self.relay.next_expiry(), resumption];
        waits.into_iter().flatten().min()
    }
}

/// Records an answer for the canary judge while a version move is in progress in its pool.
///
/// The canary's target is kept full, which slows all its answers. During the canary phase, answers
/// of the old version are therefore counted only from that target, so that both versions are
/// measured under the same load.
fn record_sample(
    context: &FlowContext<'_>,
    submission: &CallSubmission,
    (pool, target, version): (&PoolName, &TargetName, &VersionName),
    micros_per_token: Option<f64>,
    pipe: &mut FlowPipe<'_>,
) {
    let Some(row) = context.fleet.tables.pools.get(pool) else { return };
    let elsewhere =
        VersionSplit::saturated_target(row).is_some_and(|saturated| saturated != target);
    if elsewhere || row.version_move.as_ref().is_none_or(VersionMove::has_ended) {
        return;
    }
    let key =
        SampleKey { pool: pool.clone(), route: submission.route.clone(), version: version.clone() };
    let sample = VersionSample {
        key,
        failed: micros_per_token.is_none(),
        micros_per_token: micros_per_token.unwrap_or(0.0),
    };
    pipe.outputs.push(TrafficOutput::Sample(sample));
}
