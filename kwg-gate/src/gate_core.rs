mod admission;
mod attempt_ends;
mod cold_targets;
mod decision_clock;
mod evacuation;
mod explaining;
mod home_regions;
mod joining;
mod last_resort;
mod next_run;
mod planned_stop;
mod second_target;
mod suspects;
mod target_selection;
mod unreached_log;
mod version_moves;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kwg_model::MonoTime;

use self::decision_clock::DecisionClock;
use self::unreached_log::UnreachedLog;
use crate::poison::SilentRun;
use crate::session::RoutePlan;
use crate::{
    AttemptEvidence, AttemptPermit, FinalOutcome, GateDigest, GateOptions, InstanceMap,
    MoveTracker, PeerTracker, QuotaTracker, RefusalReason, RequestDetails, RetryBudget, RouteTable,
    SuspectTracker, TargetKey, TargetRegistry, TargetTracker, UnknownReason, WaitQueue,
    WaitTracker,
};

/// Retry-after for a caller that was refused for lack of capacity. Bursts last 2.5 to 5 s in the
/// operators' traffic, so an earlier retry would hit the same burst.
const CAPACITY_RETRY: Duration = Duration::from_millis(2_500);
/// Retry-after for a service without a target; a new target starts within seconds.
const TARGET_RETRY: Duration = Duration::from_millis(500);
/// Share of the lendable slots that all instances together claim while no request waits: small,
/// because owners and instances in the target's domain also take slots before the next reports.
const IDLE_CLAIM_SHARE: f64 = 0.1;

/// Fleet size until the live instances are known: about that of the smallest fleets.
const ASSUMED_FLEET: u32 = 10;

/// State on which one traffic thread bases all of its decisions.
#[derive(Debug, Clone)]
pub struct GateCore {
    table: Option<Arc<RouteTable>>,
    registry: Arc<TargetRegistry>,
    targets: TargetTracker,
    quotas: QuotaTracker,
    budget: RetryBudget,
    suspects: SuspectTracker,
    /// Requests whose targets fell silent and may be gone.
    silent: VecDeque<SilentRun>,
    peers: PeerTracker,
    waiting: WaitQueue,
    longest_waits: WaitTracker,
    fleet_size: u32,
    moves: MoveTracker,
    clock: DecisionClock,
    unreached: UnreachedLog,
    /// When every request must have its outcome, because the instance stops.
    end: Option<MonoTime>,
    /// Until when requests wait at most for what the peers know.
    joining_until: Option<MonoTime>,
    /// Number of times that a request was placed while cold targets got none because of their rate.
    passed_cold: u64,
}

impl GateCore {
    /// Creates a core without a route table and without targets.
    #[must_use]
    pub fn new(options: GateOptions) -> Self {
        let mut targets = TargetTracker::new(options.domains.clone());
        targets.set_cold_options(options.cold);
        Self {
            targets,
            budget: RetryBudget::new(options.retry),
            table: None,
            registry: Arc::default(),
            quotas: QuotaTracker::new(options.quota),
            suspects: SuspectTracker::default(),
            silent: VecDeque::new(),
            peers: PeerTracker::default(),
            waiting: WaitQueue::default(),
            longest_waits: WaitTracker::default(),
            fleet_size: ASSUMED_FLEET,
            moves: MoveTracker::new(options.moves),
            clock: DecisionClock::default(),
            unreached: UnreachedLog::default(),
            end: None,
            joining_until: None,
            passed_cold: 0,
        }
    }

    /// The route table in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// State of the targets.
    #[must_use]
    pub fn targets(&self) -> &TargetTracker {
        &self.targets
    }

    /// Mutable state of the targets, to count attempts and connections.
    pub fn targets_mut(&mut self) -> &mut TargetTracker {
        &mut self.targets
    }

    /// Whether requests can be served: a route table and at least one target are known, and what the peers know.
    #[must_use]
    pub fn is_ready(&self, now: MonoTime) -> bool {
        let has_target = self.registry.entries().next().is_some();
        self.table.is_some() && has_target && !self.is_joining(now)
    }

    /// Puts a route table in force unless the same or a later version already is; returns whether
    /// it did.
    pub fn set_table(&mut self, table: &Arc<RouteTable>) -> bool {
        let is_later = self.table.as_ref().is_none_or(|known| known.version() < table.version());
        if is_later {
            self.table = Some(Arc::clone(table));
            self.targets.set_promises(table.stream_promises());
            self.longest_waits.retain(|route| table.has_route(route));
            self.targets.set_cold_rules(table.cold_rules());
        }
        is_later
    }

    /// Synchronizes the targets with the registry; returns the targets that were removed.
    pub fn set_registry(&mut self, registry: &Arc<TargetRegistry>) -> Vec<TargetKey> {
        self.registry = Arc::clone(registry);
        self.suspects.set_target_count(registry.entries().count());
        self.targets.sync(registry)
    }

    /// Applies changed retry budgets, tolerances and options of version moves; the counts are kept.
    pub fn set_options(&mut self, options: GateOptions) {
        self.budget.set_options(options.retry);
        self.quotas.set_options(options.quota);
        self.moves.set_options(options.moves);
        self.targets.set_cold_options(options.cold);
    }

    /// Updates the set of live instances, this one included.
    pub fn set_instances(&mut self, instances: &InstanceMap) {
        self.fleet_size = instances.size();
        self.targets.set_instances(instances);
    }

    /// Claims a share of the free slots that their owners do not need, in proportion to the waiting
    /// requests; if none wait anywhere, an equal share of `IDLE_CLAIM_SHARE`.
    pub fn claim_slots(&mut self, draw: f64, now: MonoTime) {
        self.refresh_cold(now);
        let (waiting, peers) = (&self.waiting, &self.peers);
        let reachable = f64::from(self.peers.reachable().max(1));
        let share = |service: &str| {
            let own = f64::from(waiting.count(service));
            match own + f64::from(peers.waiting(service)) {
                0.0 => IDLE_CLAIM_SHARE / reachable,
                all => own / all,
            }
        };
        let waits = |peer: &str, service: &str| peers.has_waiting(peer, service);
        self.targets.claim_slots(share, waits, draw, now);
    }

    /// Applies the digest of a peer; returns the targets that were found to leave by its word.
    pub fn apply_digest(
        &mut self,
        peer: &str,
        digest: &GateDigest,
        now: MonoTime,
    ) -> Vec<TargetKey> {
        self.peers.record_report(peer, u32::from(digest.members), now);
        self.peers.record_waiting(peer, &digest.waiting);
        let leaving = self.targets.apply_digest(peer, digest, now);
        for usage in &digest.accounts {
            self.quotas.apply_usage(peer, digest.run, &usage.label, usage.used, now);
        }
        let source = self.targets.instances().report_source(peer, digest.run);
        for report in &digest.moves {
            self.moves.apply_report_of(source, report, now);
        }
        self.apply_ends(peer, &digest.ends, now);
        leaving
    }

    /// Drops the load reports of peers that have stopped reporting; returns their names.
    pub fn drop_silent_peers(&mut self, now: MonoTime) -> Vec<String> {
        let silent = self.peers.take_silent(now);
        silent.iter().for_each(|peer| self.targets.drop_peer(peer));
        silent
    }

    /// Digest of this instance's work for its peers; the control thread adds the table revisions.
    #[must_use]
    pub fn digest(&self, run: u64, now: MonoTime) -> GateDigest {
        let count = |(service, count): (&crate::ServiceName, usize)| {
            (service.clone(), u16::try_from(count).unwrap_or(u16::MAX))
        };
        GateDigest {
            run,
            members: 1,
            accounts: self.quotas.usage().collect(),
            targets: self.targets.reports(),
            waiting: self.waiting.counts().map(count).collect(),
            moves: self.move_reports(now),
            ends: self.suspects.records(now).collect(),
            ..GateDigest::default()
        }
    }

    /// Requests that wait for capacity.
    #[must_use]
    pub fn waiting(&self) -> &WaitQueue {
        &self.waiting
    }

    /// Mutable queue of the requests that wait for capacity, to enter and leave it.
    pub fn waiting_mut(&mut self) -> &mut WaitQueue {
        &mut self.waiting
    }

    pub(crate) fn allow_retry(
        &mut self,
        details: &RequestDetails,
        plan: &RoutePlan,
        permit: &AttemptPermit,
        evidence: AttemptEvidence,
        now: MonoTime,
    ) -> Result<(), FinalOutcome> {
        let refusal = match self.refuses(details, plan, now) {
            true => FinalOutcome::refused(RefusalReason::Suspect),
            false
                if !evidence.needs_budget()
                    || self.budget.take(&plan.service, self.budget_instances(), now) =>
            {
                return Ok(());
            }
            false => FinalOutcome::refused_until(RefusalReason::BudgetSpent, CAPACITY_RETRY),
        };
        let outcome = match permit.may_have_run() {
            true => FinalOutcome::Unknown(UnknownReason::Cut),
            false => refusal,
        };
        self.refund_if_refused(plan, outcome);
        Err(outcome)
    }

    /// Refunds the quota of a request if its outcome is a refusal, because it has then not run.
    pub(crate) fn refund_if_refused(&mut self, plan: &RoutePlan, outcome: FinalOutcome) {
        if let (FinalOutcome::Refused { .. }, Some(account)) = (outcome, &plan.account) {
            self.quotas.refund(account, plan.units);
        }
    }

    /// Adds a retry-after to the outcome of a declined request; returns other outcomes unchanged.
    pub(crate) fn with_retry_after(&self, outcome: FinalOutcome) -> FinalOutcome {
        match outcome {
            FinalOutcome::Refused { reason: RefusalReason::Declined, .. } => {
                FinalOutcome::refused_until(RefusalReason::Declined, CAPACITY_RETRY)
            }
            outcome => outcome,
        }
    }
}
