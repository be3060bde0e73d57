mod plan_accessors;

use kwg_model::MonoTime;

use super::{AttemptEnd, PlacementStep, RoutePlan};
use crate::{
    AttemptEvidence, AttemptPermit, AttemptSample, AttemptVerdict, FinalOutcome, GateCore,
    OpenAttempt, Placement, QueuePosition, RequestDetails, ReservedTarget, SharedAttempt,
    TargetKey, WaitQueue,
};

/// A request being processed; `S` is its state.
#[derive(Debug)]
pub struct GateSession<S> {
    details: Box<RequestDetails>,
    state: S,
}

/// State: the request has been read.
#[derive(Debug)]
pub struct Received;

/// State: the route table and the limits admit the request.
#[derive(Debug)]
pub struct Admitted {
    plan: Box<RoutePlan>,
    permit: AttemptPermit,
}

/// State: a target has been chosen.
#[derive(Debug)]
pub struct Placed {
    plan: Box<RoutePlan>,
    permit: AttemptPermit,
    placement: Placement,
}

/// State: the request has been sent to a target, which may be running it.
#[derive(Debug)]
pub struct Dispatched {
    plan: Box<RoutePlan>,
    open: OpenAttempt,
    placement: Placement,
    /// Whether the target has sent an event of its answer.
    has_begun: bool,
}

/// State: the request has been sent to a silent target and then to a second one. It goes on at the
/// first one unless the second one takes it over.
#[derive(Debug)]
pub struct HandingOver {
    plan: Box<RoutePlan>,
    shared: SharedAttempt,
    first: Placement,
    /// Whether the first target has sent an event of its answer.
    has_begun: bool,
    second: Placement,
}

/// What follows an attempt without a complete answer.
#[derive(Debug)]
pub enum SessionStep {
    /// Another target may be tried.
    Retry(GateSession<Admitted>),
    /// The request has ended with this outcome.
    Ended(FinalOutcome),
}

/// Result of placing an admitted request.
#[derive(Debug)]
pub enum PlacementOutcome {
    /// A target has been chosen.
    Placed(GateSession<Placed>),
    /// The request waits for capacity, at most until the given time.
    Waiting(GateSession<Admitted>, MonoTime),
    /// The request has ended with this outcome: refused, or unknown if a target may have run it in
    /// an earlier attempt.
    Refused(FinalOutcome),
}

impl<S> GateSession<S> {
    /// Details of the request.
    #[must_use]
    pub fn details(&self) -> &RequestDetails {
        &self.details
    }
}

impl GateSession<Received> {
    /// Creates the session of a request that has been read.
    #[must_use]
    pub fn new(details: RequestDetails) -> Self {
        Self { details: Box::new(details), state: Received }
    }

    /// Applies the route table, keys and quotas.
    ///
    /// # Errors
    /// The refusal, if the request is not admitted; it has not run.
    pub fn admit(
        self,
        core: &mut GateCore,
        draw: f64,
        now: MonoTime,
    ) -> Result<GateSession<Admitted>, FinalOutcome> {
        let (plan, max_attempts) = core.admit(&self.details, draw, now)?;
        let permit = AttemptPermit::new(plan.kind, max_attempts);
        Ok(GateSession { details: self.details, state: Admitted { plan: Box::new(plan), permit } })
    }
}

impl GateSession<Admitted> {
    /// Chooses a target.
    pub fn place(self, core: &mut GateCore, draw: f64, now: MonoTime) -> PlacementOutcome {
        match core.place(&self.details, &self.state.plan, &self.state.permit, draw, now) {
            PlacementStep::Send(placement) => {
                let Admitted { plan, permit } = self.state;
                let state = Placed { plan, permit, placement };
                PlacementOutcome::Placed(GateSession { details: self.details, state })
            }
            PlacementStep::Wait(until) => PlacementOutcome::Waiting(self, until),
            PlacementStep::Refuse(outcome) => PlacementOutcome::Refused(outcome),
        }
    }

    /// Adds the request to the queue of its service.
    pub fn enter_queue(&self, queue: &mut WaitQueue) -> QueuePosition {
        let Admitted { plan, permit } = &self.state;
        match permit.may_have_run() {
            true => queue.enter_again(&plan.service, plan.rank, plan.waits_since),
            false => queue.enter(&plan.service, plan.rank, plan.waits_since),
        }
    }
}

impl GateSession<Placed> {
    /// Consumes the permit to send the request. From here on a target may run it.
    #[must_use]
    pub fn dispatch(self) -> GateSession<Dispatched> {
        let Placed { plan, permit, placement } = self.state;
        let state = Dispatched { plan, open: permit.start(), placement, has_begun: false };
        GateSession { details: self.details, state }
    }
}

impl GateSession<Dispatched> {
    /// The chosen target and the load assumed there.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        &self.state.placement
    }

    /// Notes that the target has sent an event of its answer.
    pub fn mark_begun(&mut self) {
        self.state.has_begun = true;
    }

    /// Whether the target has sent an event of its answer.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.state.has_begun
    }

    /// Whether the request may still be sent to a target, asked last before its first byte is written: while the
    /// connection was opened, the target may have been found to leave or pause, other targets may have ended under the
    /// request, or its regions may have changed.
    #[must_use]
    pub fn may_reach(&self, core: &GateCore, target: TargetKey, now: MonoTime) -> bool {
        let plan = &self.state.plan;
        core.targets().is_open(target, now)
            && core.targets().is_within_rate(target, now)
            && core.is_in_regions(&self.details, plan, target)
            && !core.refuses(&self.details, plan, now)
    }

    /// Reserves another target with a free slot, if the request may be sent there although this one
    /// may have run it. The caller counts the slot as taken until the reservation ends.
    #[must_use]
    pub fn reserve(&self, core: &GateCore, draw: f64, now: MonoTime) -> Option<ReservedTarget> {
        let Dispatched { plan, open, placement, .. } = &self.state;
        let second = match open.may_run_again() {
            true => {
                let excluded = core.excluded(plan, Some(placement.target), open.is_return_next());
                core.place_second(&self.details, plan, &excluded, draw, now)
            }
            false => None,
        };
        second.map(ReservedTarget::new)
    }

    /// Records that no connection to a reserved target could be opened. The attempt goes on.
    pub fn record_unreached(&self, core: &mut GateCore, reserved: ReservedTarget, now: MonoTime) {
        let (plan, placement) = (&self.state.plan, reserved.into_placement());
        let evidence = AttemptEvidence::NotSent;
        let end = AttemptEnd { placement: &placement, has_begun: false, evidence };
        core.record_attempt_end(&self.details, plan, end, now);
    }

    /// Consumes a run and a retry of the budget to send the request to the reserved target as well.
    ///
    /// # Errors
    /// The unchanged session if the budget has been spent since the target was reserved.
    pub fn hand_over(
        self,
        core: &mut GateCore,
        reserved: ReservedTarget,
        now: MonoTime,
    ) -> Result<GateSession<HandingOver>, Self> {
        let Self { details, state: Dispatched { plan, open, placement, has_begun } } = self;
        let shared = match open.share(|| core.take_second_run(&details, &plan, now)) {
            Ok(shared) => shared,
            Err(open) => {
                let state = Dispatched { plan, open, placement, has_begun };
                return Err(Self { details, state });
            }
        };
        let second = reserved.into_placement();
        let state = HandingOver { plan, shared, first: placement, has_begun, second };
        Ok(GateSession { details, state })
    }

    /// Ends the attempt without a complete answer and decides what follows.
    pub fn close(
        self,
        core: &mut GateCore,
        evidence: AttemptEvidence,
        now: MonoTime,
    ) -> SessionStep {
        let Dispatched { mut plan, open, placement, has_begun } = self.state;
        let end = AttemptEnd { placement: &placement, has_begun, evidence };
        core.record_attempt_end(&self.details, &plan, end, now);
        match open.close(evidence) {
            AttemptVerdict::Retry(permit) => {
                match core.allow_retry(&self.details, &plan, &permit, evidence, now) {
                    Ok(()) => {
                        plan.begin_retry(placement.target, evidence, permit.may_have_run(), now);
                        let state = Admitted { plan, permit };
                        SessionStep::Retry(GateSession { details: self.details, state })
                    }
                    Err(outcome) => SessionStep::Ended(outcome),
                }
            }
            AttemptVerdict::Final(outcome) => {
                core.refund_if_refused(&plan, outcome);
                SessionStep::Ended(core.with_retry_after(outcome))
            }
        }
    }

    /// Ends the attempt with a complete answer.
    pub fn answered(self, core: &mut GateCore, sample: &AttemptSample, now: MonoTime) {
        let Dispatched { plan, placement, .. } = &self.state;
        core.record_answer(&self.details, plan, placement.target, sample, now);
    }

    /// The [`pace`](AttemptSample::pace_ms) of the attempt, in milliseconds.
    #[must_use]
    pub fn pace_ms(&self, sample: &AttemptSample) -> f64 {
        let prompt_tokens = self.details.tokens.map_or(0, |tokens| tokens.prompt);
        sample.pace_ms(prompt_tokens, self.state.plan.on_engine)
    }
}

impl GateSession<HandingOver> {
    /// The silent target, to which the request was sent first.
    #[must_use]
    pub fn first(&self) -> &Placement {
        &self.state.first
    }

    /// Whether the first target has sent an event of its answer.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.state.has_begun
    }

    /// The target that may take the request over.
    #[must_use]
    pub fn second(&self) -> &Placement {
        &self.state.second
    }

    /// When the hand-over that begins `now` must have ended, so that no two targets work on the
    /// request for longer.
    #[must_use]
    pub fn hand_over_limit(&self, now: MonoTime) -> MonoTime {
        GateCore::hand_over_limit(&self.state.plan, now)
    }

    /// Ends the run at the first target; the request goes on at the second one.
    #[must_use]
    pub fn complete(
        self,
        core: &mut GateCore,
        evidence: AttemptEvidence,
        now: MonoTime,
    ) -> GateSession<Dispatched> {
        let HandingOver { mut plan, shared, first, has_begun, second } = self.state;
        let end = AttemptEnd { placement: &first, has_begun, evidence };
        core.record_attempt_end(&self.details, &plan, end, now);
        plan.end_attempt(first.target, evidence, now);
        match evidence {
            AttemptEvidence::Cut => plan.cut_at = Some(now),
            AttemptEvidence::Silent => plan.left = Some(first.target),
            _ => {}
        }
        let open = shared.end_first(evidence);
        let state = Dispatched { plan, open, placement: second, has_begun: false };
        GateSession { details: self.details, state }
    }

    /// Ends the run at the second target; the request goes on at the first one.
    #[must_use]
    pub fn give_up(
        self,
        core: &mut GateCore,
        evidence: AttemptEvidence,
        now: MonoTime,
    ) -> GateSession<Dispatched> {
        let HandingOver { mut plan, shared, first, has_begun, second } = self.state;
        let end = AttemptEnd { placement: &second, has_begun: false, evidence };
        core.record_attempt_end(&self.details, &plan, end, now);
        plan.end_attempt(second.target, evidence, now);
        let open = shared.end_second(evidence);
        let state = Dispatched { plan, open, placement: first, has_begun };
        GateSession { details: self.details, state }
    }
}
