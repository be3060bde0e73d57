use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kwg_flow::{
    CallerKey, CallerReply, EventKind, TargetEvent, TrafficCore, TrafficIdentity, TrafficInput,
    TrafficOptions, TrafficOutput,
};
use kwg_model::{
    AccountName, ByteChunk, CallOutcome, CallSubmission, DomainName, FleetSnapshot, HomeAddress,
    InstanceName, MonoTime, NotRunReason, PeerView, PoolKind, PoolName, PoolRow, RegionName,
    RouteName, RouteRow, ServiceTier, TableSet, TargetName, TargetRow, TicketKey, VersionName,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fake_engine::{FakeEngine, StreamEvent};
use super::{LoadRequest, PolicyKind, PolicyTally, Workload};

/// Duration of a step, which is the resolution of all event times.
const STEP: Duration = Duration::from_millis(10);
/// Time during which requests arrive.
const ARRIVAL_SPAN: Duration = Duration::from_secs(60);
/// Further time in which accepted requests may complete.
const DRAIN_SPAN: Duration = Duration::from_secs(60);
/// Number of routers. One user's fleet has nine routers and nine engines.
const ROUTERS: usize = 9;
/// Decoding speeds of the engines, in tokens per second: three hardware generations.
const SPEEDS: [f64; 9] = [900.0, 900.0, 900.0, 700.0, 700.0, 700.0, 500.0, 500.0, 500.0];
/// Speed of a straggler, as a fraction of its nominal speed.
const STRAGGLER_SPEED: f64 = 0.25;
/// Longest mean token interval of a good request, in seconds.
const MAX_TOKEN_INTERVAL_S: f64 = 0.034;
/// Engine memory, in tokens, divided by its decoding speed in tokens per second.
const MEMORY_SECONDS: f64 = 100.0;

/// One run of one policy against simulated engines.
#[derive(Debug, Clone, Copy)]
pub struct PolicyTrial {
    /// Seed of the workload and of all other random draws.
    pub seed: u64,
    /// Offered load, as a multiple of the engines' decoding capacity.
    pub load: f64,
    /// Policy under trial.
    pub policy: PolicyKind,
    /// Whether one engine is dead and another is a straggler.
    pub faults: bool,
}

/// Progress of a request during a trial.
#[derive(Debug, Clone, Default)]
struct RequestState {
    first_token: Option<MonoTime>,
    ended: Option<MonoTime>,
    prefilled: bool,
    shed: bool,
}

/// Requests, engines and results of a running trial.
struct TrialState {
    requests: Vec<LoadRequest>,
    states: Vec<RequestState>,
    engines: Vec<FakeEngine>,
    tally: PolicyTally,
}

impl PolicyTrial {
    /// Runs the trial and returns its results.
    #[must_use]
    pub fn run(&self) -> PolicyTally {
        let speed: f64 = SPEEDS.iter().sum();
        let rate = self.load * speed / Workload::mean_tokens();
        let requests = Workload::draw(self.seed, rate, ARRIVAL_SPAN);
        let mut engines: Vec<FakeEngine> =
            SPEEDS.iter().map(|speed| FakeEngine::new(*speed)).collect();
        if self.faults {
            engines[0].is_dead = true;
            engines[3] = FakeEngine::new(SPEEDS[3] * STRAGGLER_SPEED);
        }
        let states = vec![RequestState::default(); requests.len()];
        let mut state = TrialState { requests, states, engines, tally: PolicyTally::default() };
        match self.policy {
            PolicyKind::Product => ProductRun::new(self.seed).run(&mut state),
            policy => run_baseline(policy, self.seed, &mut state),
        }
        state.finish()
    }
}

impl TrialState {
    fn finish(mut self) -> PolicyTally {
        for (request, state) in self.requests.iter().zip(&self.states) {
            let tier = usize::from(request.tier);
            self.tally.offered[tier] += 1;
            self.tally.shed[tier] += u64::from(state.shed);
            let mut is_good = false;
            if let (Some(first), Some(ended)) = (state.first_token, state.ended) {
                let wait = first.since(request.at);
                let interval = ended.since(first).as_secs_f64() / f64::from(request.answer.max(1));
                // The wait may be one step longer, because times are recorded only at the ends of
                // steps.
                is_good =
                    wait <= request.first_token_timeout + STEP && interval <= MAX_TOKEN_INTERVAL_S;
                let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
                self.tally.first_token.record(millis).expect("the histogram resizes");
                self.tally
                    .token_interval
                    .record((interval * 1e6) as u64)
                    .expect("the histogram resizes");
            }
            self.tally.good[tier] += u64::from(is_good);
            if state.prefilled {
                self.tally.prefill += u64::from(request.prompt);
                self.tally.wasted += if is_good { 0 } else { u64::from(request.prompt) };
            }
        }
        self.tally
    }

    /// Advances the engines by one step, which ends at `now`, and records the progress of the
    /// requests.
    fn step_engines(&mut self, now: MonoTime) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        for engine in &mut self.engines {
            events.extend(engine.step(now, STEP));
        }
        for event in &events {
            match event {
                StreamEvent::FirstToken(id) => self.states[*id].first_token = Some(now),
                StreamEvent::End(id) => self.states[*id].ended = Some(now),
            }
        }
        events
    }

    fn start(&mut self, id: usize, engine: usize) {
        let LoadRequest { prompt, answer, .. } = self.requests[id];
        self.states[id].prefilled = true;
        self.engines[engine].start(id, prompt, answer);
    }
}

/// Calls `step` for each step of a trial with the requests that arrive in it.
fn run_steps(state: &mut TrialState, mut step: impl FnMut(&mut TrialState, MonoTime, Vec<usize>)) {
    let (mut now, mut next) = (MonoTime::ZERO, 0);
    let end = MonoTime::ZERO + ARRIVAL_SPAN + DRAIN_SPAN;
    while now < end {
        now = now + STEP;
        let mut arrivals = Vec::new();
        while state.requests.get(next).is_some_and(|request| request.at <= now) {
            arrivals.push(next);
            next += 1;
        }
        step(state, now, arrivals);
    }
}

/// Runs a baseline, which dispatches every request at its arrival.
fn run_baseline(policy: PolicyKind, seed: u64, state: &mut TrialState) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut turn = 0;
    run_steps(state, |state, now, arrivals| {
        state.step_engines(now);
        for id in arrivals {
            let live: Vec<usize> =
                (0..state.engines.len()).filter(|engine| !state.engines[*engine].is_dead).collect();
            let reported = |engine: &usize| state.engines[*engine].reported(now);
            let engine = match policy {
                PolicyKind::LeastReported => live
                    .iter()
                    .copied()
                    .min_by(|left, right| reported(left).total_cmp(&reported(right)))
                    .unwrap_or(0),
                PolicyKind::TwoChoices => {
                    let pick = |rng: &mut ChaCha8Rng| live[rng.random_range(0..live.len())];
                    let (left, right) = (pick(&mut rng), pick(&mut rng));
                    if reported(&left) <= reported(&right) { left } else { right }
                }
                _ => {
                    turn += 1;
                    live[turn % live.len()]
                }
            };
            state.start(id, engine);
        }
    });
}

/// Runs the traffic cores of all routers against the trial's engines and callers.
struct ProductRun {
    cores: Vec<TrafficCore>,
    /// Request of each caller, by router.
    callers: BTreeMap<(usize, CallerKey), usize>,
    /// Request of each ticket.
    tickets: BTreeMap<TicketKey, usize>,
    /// Router and ticket of each request that was dispatched; entries are never removed.
    dispatched: BTreeMap<usize, (usize, TicketKey)>,
}

impl ProductRun {
    fn new(seed: u64) -> Self {
        let cores = (0..ROUTERS).map(|number| {
            let identity = identity(number);
            TrafficCore::new(identity, TrafficOptions::default(), seed * 100 + number as u64)
        });
        Self {
            cores: cores.collect(),
            callers: BTreeMap::new(),
            tickets: BTreeMap::new(),
            dispatched: BTreeMap::new(),
        }
    }

    fn run(mut self, state: &mut TrialState) {
        for number in 0..ROUTERS {
            let fleet = Arc::new(fleet_snapshot(number));
            self.feed(state, MonoTime::ZERO, number, TrafficInput::Fleet(fleet));
        }
        run_steps(state, |state, now, arrivals| {
            for event in state.step_engines(now) {
                self.on_stream(state, now, event);
            }
            for id in arrivals {
                let router = id % ROUTERS;
                let caller = CallerKey(id as u64 + 1);
                self.callers.insert((router, caller), id);
                let submission = Box::new(submission(&state.requests[id]));
                self.feed(state, now, router, TrafficInput::Submit { caller, submission });
            }
            for router in 0..ROUTERS {
                if self.cores[router].next_wake(now).is_some_and(|wake| wake <= now) {
                    self.feed(state, now, router, TrafficInput::Tick);
                }
            }
        });
    }

    fn on_stream(&mut self, state: &mut TrialState, now: MonoTime, event: StreamEvent) {
        let (StreamEvent::FirstToken(id) | StreamEvent::End(id)) = event;
        let Some((router, key)) = self.dispatched.get(&id).cloned() else { return };
        let event = match event {
            StreamEvent::FirstToken(_) => {
                TargetEvent::Part { offset: 0, chunk: ByteChunk::from(b"x".as_slice()) }
            }
            StreamEvent::End(_) => TargetEvent::End { length: 1 },
        };
        self.feed(state, now, router, TrafficInput::Target { key, event });
    }

    /// Passes an input to a router's core, and executes the outputs.
    fn feed(&mut self, state: &mut TrialState, now: MonoTime, router: usize, input: TrafficInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.cores[router].step(now, input) {
                match output {
                    TrafficOutput::Reply { caller, reply } => {
                        self.on_reply(state, router, caller, &reply);
                    }
                    TrafficOutput::Dispatch(order) => {
                        let key = order.permit.key().clone();
                        let id = self.tickets[&key];
                        let engine = engine_index(&order.target);
                        if state.engines[engine].is_dead {
                            let event = TargetEvent::NotStarted(order);
                            inputs.push(TrafficInput::Target { key, event });
                            continue;
                        }
                        state.start(id, engine);
                        self.dispatched.insert(id, (router, key));
                    }
                    TrafficOutput::Event(event) => {
                        if let EventKind::Failed { outcome, tier } = event.kind {
                            self.count_inversion(state, router, outcome, tier);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn on_reply(
        &mut self,
        state: &mut TrialState,
        router: usize,
        caller: CallerKey,
        reply: &CallerReply,
    ) {
        let Some(id) = self.callers.get(&(router, caller)).copied() else { return };
        match reply {
            CallerReply::Ticketed(ticket) => {
                self.tickets.insert(ticket.key.clone(), id);
            }
            reply if reply.outcome().is_some() => state.states[id].shed = true,
            _ => {}
        }
    }

    /// Counts a request that was shed for lack of capacity while one of a lower tier waited.
    fn count_inversion(
        &mut self,
        state: &mut TrialState,
        router: usize,
        outcome: CallOutcome,
        tier: Option<ServiceTier>,
    ) {
        let (CallOutcome::NotRun(NotRunReason::Overload), Some(tier)) = (outcome, tier) else {
            return;
        };
        if self.cores[router].queued_count_below(tier) > 0 {
            state.tally.inversions += 1;
        }
    }
}

fn instance_name(number: usize) -> InstanceName {
    InstanceName::new(format!("r{number}")).expect("a valid name")
}

fn region(number: usize) -> RegionName {
    RegionName::new(if number % 3 == 2 { "west" } else { "ost" }).expect("a valid name")
}

fn identity(number: usize) -> TrafficIdentity {
    let address = HomeAddress { instance: instance_name(number), incarnation: 1, shard: 0 };
    let domain = DomainName::new(format!("domain{}", number % 3)).expect("a valid name");
    TrafficIdentity { address, domain, region: region(number), shards: 1 }
}

fn engine_index(target: &TargetName) -> usize {
    target.as_str().trim_start_matches('e').parse().unwrap_or(0)
}

fn fleet_snapshot(own: usize) -> FleetSnapshot {
    let version = VersionName::new("v1").expect("a valid name");
    let pool = PoolName::new("graz").expect("a valid name");
    let targets = SPEEDS.iter().enumerate().map(|(number, speed)| TargetRow {
        name: TargetName::new(format!("e{number}")).expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainName::new(format!("domain{}", number % 3)).expect("a valid name"),
        region: region(number),
        limit_tokens: (speed * MEMORY_SECONDS) as u64,
        limit_streams: (speed * MAX_TOKEN_INTERVAL_S) as u64,
        version: version.clone(),
        heeds_fencing: true,
    });
    let pool_row = PoolRow {
        name: pool.clone(),
        kind: PoolKind::Engine,
        version: version.clone(),
        targets: targets.collect(),
        version_move: None,
    };
    let route = RouteRow {
        name: all_route(),
        pool: pool.clone(),
        tier: ServiceTier::new(0).expect("in range"),
        deadline_ms: 600_000,
    };
    let peers = (0..ROUTERS).filter(|number| *number != own).map(|number| {
        let TrafficIdentity { address, domain, region, shards } = identity(number);
        let HomeAddress { instance, incarnation, .. } = address;
        let view = PeerView { instance, incarnation, shards, domain, region, serving: true };
        (view.instance.clone(), view)
    });
    FleetSnapshot {
        tables: TableSet {
            revision: 1,
            routes: BTreeMap::from([(route.name.clone(), route)]),
            pools: BTreeMap::from([(pool, pool_row)]),
            ..TableSet::default()
        },
        peers: peers.collect(),
        ..FleetSnapshot::default()
    }
}

fn all_route() -> RouteName {
    RouteName::new("all").expect("a valid name")
}

fn submission(request: &LoadRequest) -> CallSubmission {
    const BYTES_PER_TOKEN: usize = 4;
    let account = AccountName::new(format!("account{}", request.account));
    CallSubmission {
        account: account.expect("a valid name"),
        route: all_route(),
        ticket: None,
        idempotency_key: None,
        resume: None,
        offset: 0,
        tier: ServiceTier::new(request.tier),
        deadline: Some(request.first_token_timeout),
        non_idempotent: false,
        join_only: false,
        max_tokens: request.answer,
        body: ByteChunk::from(vec![b'x'; request.prompt as usize * BYTES_PER_TOKEN]),
    }
}
