use std::time::Duration;

use kwg_model::MonoTime;

use crate::{
    AccountLabel, AttemptEvidence, RegionBound, RequestDetails, RequestKind, RouteRule, RouteTable,
    ServiceName, TargetKey,
};

/// Time after arrival for which every request may wait for capacity, even if its answer will then
/// be late: slots become free all the time.
const MIN_WAIT: Duration = Duration::from_millis(60);

/// Pause before a request is sent again to a target that has cut it off or declined it: one that has
/// crashed refuses connections for a while, and one that is full may have a free slot by then.
const RETURN_PAUSE: Duration = Duration::from_millis(240);
/// Time after its cut for which a request without an untried target waits for one of its targets to be
/// back, or for another one to appear.
const RETURN_LIMIT: Duration = Duration::from_secs(1);

/// Result of applying the route table to a request, kept for the request's lifetime.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RoutePlan {
    /// Name of the route.
    pub(crate) route: String,
    /// Version of the route table that was applied.
    pub(crate) table_version: u64,
    /// The service selected by weight.
    pub(crate) service: ServiceName,
    /// The route's kind of requests.
    pub(crate) kind: RequestKind,
    /// Target time to the first event of a stream, or to the complete answer.
    pub(crate) target_latency: Duration,
    /// Maximum pause between events for a stream to be on time.
    pub(crate) gap_target: Option<Duration>,
    /// The account that is charged.
    pub(crate) account: Option<AccountLabel>,
    /// Units charged to the account's quota; 0 without a quota.
    pub(crate) units: u64,
    /// Rank in the wait queue; 0 is served first.
    pub(crate) rank: u32,
    /// Whether the targets are batching engines.
    pub(crate) on_engine: bool,
    /// Tokens per event of the stream.
    pub(crate) tokens_per_event: f64,
    /// When the final answer is due.
    pub(crate) due: MonoTime,
    /// Number in [0, 1) that decides which version serves the first attempt. It stays the same while the
    /// request waits, or those that wait long would be drawn for the idle version in the end.
    pub(crate) version_draw: f64,
    /// The targets of earlier attempts.
    pub(crate) tried: Vec<TargetKey>,
    /// Those of them that may have run the request.
    pub(crate) ran: Vec<TargetKey>,
    /// When one of them last declined the request, or could not be reached.
    pub(crate) declined: Option<MonoTime>,
    /// The last target that a hand-over has left although it had not failed.
    pub(crate) left: Option<TargetKey>,
    /// Since when it needs a slot: its arrival, or the end of its last run.
    pub(crate) waits_since: MonoTime,
    /// When its next attempt was taken from the retry budget; none if it needs no budget.
    pub(crate) retry_taken: Option<MonoTime>,
    /// When its last run was cut off; none if it has not run, or if its target replied that it failed.
    pub(crate) cut_at: Option<MonoTime>,
    /// When its last attempt ended.
    pub(crate) attempt_ended: MonoTime,
    /// Number of ends that spoke against the request when it was admitted to find out whether they are its doing; none if
    /// nothing did.
    pub(crate) trial_after: Option<usize>,
    /// The regions in which it may run, by the table that was applied.
    pub(crate) regions: RegionBound,
}

impl RoutePlan {
    /// The plan of a request on a route, without account and with the most urgent rank.
    pub(crate) fn new(
        table: &RouteTable,
        route: &RouteRule,
        service: &ServiceName,
        details: &RequestDetails,
    ) -> Self {
        let engine = table.service(service).and_then(|rule| rule.engine);
        Self {
            route: route.name.clone(),
            table_version: table.version(),
            service: service.clone(),
            kind: route.kind,
            target_latency: route.target_latency,
            gap_target: route.gap_target,
            account: None,
            units: 0,
            rank: 0,
            on_engine: engine.is_some(),
            tokens_per_event: engine.map_or(1.0, |engine| engine.tokens_per_event),
            due: details.deadline.min(details.arrived + route.timeout),
            version_draw: details.draw(),
            tried: Vec::new(),
            ran: Vec::new(),
            declined: None,
            left: None,
            waits_since: details.arrived,
            retry_taken: None,
            cut_at: None,
            attempt_ended: details.arrived,
            trial_after: None,
            regions: route.regions.clone(),
        }
    }

    /// Records that the last attempt has ended, at `target`, and that another one may follow. A
    /// request that has run has that work behind it, and goes before others of its route and account.
    pub(crate) fn begin_retry(
        &mut self,
        target: TargetKey,
        evidence: AttemptEvidence,
        may_have_run: bool,
        now: MonoTime,
    ) {
        self.end_attempt(target, evidence, now);
        match evidence {
            // The retry that was taken from the budget has not been used.
            AttemptEvidence::NotSent => {
                self.retry_taken = self.retry_taken.map(|_| now);
            }
            AttemptEvidence::Declined => self.retry_taken = Some(now),
            AttemptEvidence::Cut => (self.retry_taken, self.cut_at) = (Some(now), Some(now)),
            _ => (self.retry_taken, self.cut_at) = (Some(now), None),
        }
        if may_have_run {
            self.waits_since = now;
            self.rank = RouteRule::on_time_rank(self.rank);
        }
    }

    /// Records that an attempt has ended at `target`.
    pub(crate) fn end_attempt(
        &mut self,
        target: TargetKey,
        evidence: AttemptEvidence,
        now: MonoTime,
    ) {
        self.tried.push(target);
        self.attempt_ended = now;
        match evidence.may_have_run() {
            true => self.ran.push(target),
            false => self.declined = Some(now),
        }
    }

    /// Until when a request may wait for capacity: as long as its answer, which takes `expected`
    /// at the best target, can still be on time.
    pub(crate) fn wait_until(&self, details: &RequestDetails, expected: Duration) -> MonoTime {
        let latest = self.target_latency.saturating_sub(expected);
        (details.arrived + latest.max(MIN_WAIT)).min(self.due)
    }

    /// The targets to which a request that may have run is still not sent if no untried one is known:
    /// none after a cut and a pause, and those at which it may have run after a pause since another one
    /// declined it. `None` if it may not be sent to any tried target yet.
    pub(crate) fn excluded_again(&self, now: MonoTime) -> Option<&[TargetKey]> {
        match self.return_at() {
            Some(at) if at <= now => Some(&[]),
            _ => self.declined.filter(|at| *at + RETURN_PAUSE <= now).map(|_| &self.ran[..]),
        }
    }

    /// From when a request that was cut off may be sent to its targets again if no other one is known;
    /// none if it may not.
    fn return_at(&self) -> Option<MonoTime> {
        let at = self.attempt_ended + RETURN_PAUSE;
        self.return_until().filter(|until| at <= *until).map(|_| at)
    }

    /// When to look for a target again for a request that was cut off.
    pub(crate) fn next_look(&self, now: MonoTime) -> MonoTime {
        self.return_at().filter(|at| now < *at).unwrap_or(now + RETURN_PAUSE)
    }

    /// Until when a request that was cut off waits for a target; none if it does not.
    pub(crate) fn return_until(&self) -> Option<MonoTime> {
        Some((self.cut_at? + RETURN_LIMIT).min(self.due))
    }

    /// Until when a request that may have run may wait for its next run: as long as that one, which
    /// takes `expected` at the best target, can still end in time. To end it sooner would give up
    /// what its first run has done and the caller's connection.
    pub(crate) fn next_run_until(&self, expected: Duration) -> MonoTime {
        self.waits_since + self.due.since(self.waits_since).saturating_sub(expected)
    }
}
