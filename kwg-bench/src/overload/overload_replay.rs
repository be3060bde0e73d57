use std::collections::HashMap;
use std::time::Duration;

use kwg_gate::{
    Admitted, AttemptEvidence, AttemptSample, FinalOutcome, GateDigest, GateSession,
    PlacementOutcome, QueuePosition, Received, RequestDetails, ServiceName, SessionStep, TargetId,
    TokenCount,
};
use kwg_model::MonoTime;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::replay_fleet::{ReplayFleet, ReplayNode};
use super::replay_request::{OpenReplay, ReplayRequest};
use super::target_model::{TargetEvent, TargetJob, TargetModel};
use super::{LoadPattern, OverloadTally, RequestClass};

/// Length of a step.
pub(super) const TICK_MS: u64 = 5;
/// Tokens in one event of a stream.
pub(super) const TOKENS_PER_EVENT: f64 = 18.0;
/// Part of the time before which requests are not counted.
const WARM_UP_MS: u64 = 4_000;
/// Part of the time from which on requests are not counted, since their answers may not end in it.
const COOL_DOWN_MS: u64 = 6_000;
/// Share of its time left that a caller waits at most before it comes back.
const MAX_RETURN_SHARE: u32 = 3;

/// Replays a load pattern against gateways' decisions and modelled targets.
#[derive(Debug)]
pub struct OverloadReplay<'a> {
    pub(super) pattern: &'a LoadPattern,
    pub(super) random: ChaCha8Rng,
    pub(super) now_ms: u64,
    pub(super) nodes: Vec<ReplayNode>,
    pub(super) targets: Vec<(TargetId, &'static str, TargetModel)>,
    pub(super) requests: Vec<ReplayRequest>,
    pub(super) attempts: HashMap<usize, OpenReplay>,
    pub(super) next_attempt: usize,
    /// Callers that come back: time, request.
    pub(super) returns: Vec<(u64, usize)>,
    /// Digests on their way: arrival, recipient, sender, content.
    pub(super) messages: Vec<(u64, usize, String, GateDigest)>,
    pub(super) last_digests: Vec<GateDigest>,
    pub(super) tally: OverloadTally,
    pub(super) samples: u32,
}

impl<'a> OverloadReplay<'a> {
    /// Replays a pattern.
    ///
    /// ```
    /// use kwg_bench::{LoadPattern, OverloadReplay};
    ///
    /// let mut pattern = LoadPattern::all().remove(0);
    /// pattern.length_ms = 12_000;
    /// assert!(OverloadReplay::run(&pattern, 1).worth() > 0.5);
    /// ```
    #[must_use]
    pub fn run(pattern: &'a LoadPattern, seed: u64) -> OverloadTally {
        let mut replay = Self::new(pattern, seed);
        while replay.now_ms < pattern.length_ms {
            replay.tick();
        }
        replay.tally.engine_use /= f64::from(replay.samples.max(1));
        replay.tally
    }

    fn new(pattern: &'a LoadPattern, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let ReplayFleet { nodes, targets } = ReplayFleet::new(pattern, &mut random);
        let last_digests = vec![GateDigest::default(); nodes.len()];
        Self {
            pattern,
            random,
            now_ms: 1,
            nodes,
            targets,
            requests: Vec::new(),
            attempts: HashMap::new(),
            next_attempt: 0,
            returns: Vec::new(),
            messages: Vec::new(),
            last_digests,
            tally: OverloadTally::default(),
            samples: 0,
        }
    }

    pub(super) fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_ms)
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.advance_targets();
        self.expire();
        self.exchange_digests();
        self.expire_waiting();
        let due: Vec<usize> =
            self.returns.extract_if(.., |(at, _)| *at <= self.now_ms).map(|(_, r)| r).collect();
        for request in due {
            let node = self.random.random_range(0..self.nodes.len());
            self.admit(request, node);
        }
        self.draw_arrivals();
        let llm = || self.targets.iter().filter(|(_, service, _)| *service == "llm");
        let in_use: usize = llm().map(|(_, _, model)| model.in_use()).sum();
        self.tally.engine_use +=
            in_use as f64 / (llm().count() as f64 * f64::from(self.pattern.slots));
        self.samples += 1;
    }

    fn draw_arrivals(&mut self) {
        for (index, class) in RequestClass::ALL.iter().enumerate() {
            let targets = match class.is_generation() {
                true => self.pattern.engines,
                false => self.pattern.services,
            };
            let targets = targets * self.pattern.domains;
            let load = self.pattern.load(self.now_ms, class.is_generation());
            let expected = class.rate_per_target * targets as f64 * load * TICK_MS as f64 / 1e3;
            for _ in 0..poisson(&mut self.random, expected) {
                self.arrive(index);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let class = &RequestClass::ALL[index];
        // Sizes have a long tail, as the operators' have.
        let mut size = || (-self.random.random::<f64>().max(1e-9).ln()).clamp(0.1, 5.0);
        let tokens = TokenCount {
            prompt: (class.prompt_tokens * size()) as u64,
            output: (class.output_tokens * size()) as u64,
        };
        let work_ms = class.work_ms * (0.5 + 0.5 * size());
        let counted = WARM_UP_MS..self.pattern.length_ms.saturating_sub(COOL_DOWN_MS);
        let is_counted = counted.contains(&self.now_ms);
        self.tally.classes[index].asked += u32::from(is_counted);
        self.requests.push(ReplayRequest {
            class: index,
            tokens,
            work_ms,
            arrived_ms: self.now_ms,
            deadline_ms: self.now_ms + class.patience.as_millis() as u64,
            has_returned: false,
            is_counted,
        });
        let total: f64 = self.nodes.iter().map(|node| node.weight).sum();
        let mut left = self.random.random::<f64>() * total;
        let node = self.nodes.iter().position(|node| {
            left -= node.weight;
            left < 0.0
        });
        self.admit(self.requests.len() - 1, node.unwrap_or(0));
    }

    fn admit(&mut self, request: usize, node: usize) {
        let now = self.now();
        let state = &self.requests[request];
        let class = &RequestClass::ALL[state.class];
        let details = RequestDetails {
            id: format!("r{request}"),
            host: "h".to_owned(),
            path: format!("/{}/", class.name),
            key: None,
            parts: Vec::new(),
            tokens: class.is_generation().then_some(state.tokens),
            arrived: now,
            deadline: MonoTime::from_millis(state.deadline_ms),
            fingerprint: request as u64,
        };
        let draw = self.random.random();
        let session = GateSession::<Received>::new(details);
        match session.admit(&mut self.nodes[node].core, draw, now) {
            Ok(session) => self.place(session, request, node),
            Err(outcome) => self.end(request, outcome),
        }
    }

    fn place(&mut self, session: GateSession<Admitted>, request: usize, node: usize) {
        let (now, draw) = (self.now(), self.random.random());
        let state = &mut self.nodes[node];
        match session.place(&mut state.core, draw, now) {
            PlacementOutcome::Placed(placed) => {
                let session = placed.dispatch();
                let key = session.placement().target;
                let entry = state.core.targets().entry(key).expect("known");
                let target = self.targets.iter().position(|(id, ..)| *id == entry.id);
                let target = target.expect("registered");
                let details = &self.requests[request];
                state.core.targets_mut().begin_attempt(key, details.tokens.prompt);
                let attempt = self.next_attempt;
                self.next_attempt += 1;
                let job = TargetJob {
                    attempt,
                    unread: details.tokens.prompt as f64,
                    unwritten: details.tokens.output as f64,
                    first_event_at: (details.tokens.output as f64 - TOKENS_PER_EVENT).max(0.0),
                    work_ms: details.work_ms,
                    has_begun: false,
                };
                let open = OpenReplay {
                    request,
                    node,
                    target,
                    key,
                    session,
                    started_ms: self.now_ms,
                    first_ms: None,
                };
                if self.targets[target].2.push(job) {
                    self.attempts.insert(attempt, open);
                } else {
                    self.close(open, AttemptEvidence::Declined);
                }
            }
            PlacementOutcome::Waiting(waiting, until) => {
                let position = waiting.enter_queue(state.core.waiting_mut());
                state.waiting.insert(position, (waiting, until, request));
            }
            PlacementOutcome::Refused(outcome) => self.end(request, outcome),
        }
    }

    /// Ends a request without an answer; a refused caller comes back once.
    fn end(&mut self, request: usize, outcome: FinalOutcome) {
        let state = &mut self.requests[request];
        let service = RequestClass::ALL[state.class].service();
        let of_service = || self.targets.iter().filter(|(_, name, _)| *name == service);
        let in_use: usize = of_service().map(|(_, _, model)| model.in_use()).sum();
        let is_idle = in_use * 2 < of_service().count() * self.pattern.slots as usize;
        let tally = &mut self.tally.classes[state.class];
        let counted = u32::from(state.is_counted);
        let left = state.deadline_ms.saturating_sub(self.now_ms);
        match outcome {
            FinalOutcome::Refused { retry_after, .. } => {
                tally.refusals += counted;
                tally.refused_idle += counted * u32::from(is_idle);
                if state.has_returned || left == 0 {
                    tally.refused += counted;
                    return;
                }
                state.has_returned = true;
                let longest = Duration::from_millis(left) / MAX_RETURN_SHARE;
                let wait = retry_after.unwrap_or(Duration::from_millis(100)).min(longest);
                self.returns.push((self.now_ms + wait.as_millis() as u64, request));
            }
            FinalOutcome::Unknown(_) => tally.expired += counted,
        }
    }

    fn close(&mut self, open: OpenReplay, evidence: AttemptEvidence) {
        let now = self.now();
        let core = &mut self.nodes[open.node].core;
        core.targets_mut().end_attempt(open.key);
        match open.session.close(core, evidence, now) {
            SessionStep::Retry(session) => self.place(session, open.request, open.node),
            SessionStep::Ended(outcome) => self.end(open.request, outcome),
        }
        self.wake_one(open.node, open.request);
    }

    fn advance_targets(&mut self) {
        let events: Vec<TargetEvent> = self
            .targets
            .iter_mut()
            .flat_map(|(_, _, model)| model.advance(TICK_MS as f64))
            .collect();
        for event in events {
            match event {
                TargetEvent::Begun(attempt) => {
                    if let Some(open) = self.attempts.get_mut(&attempt) {
                        open.first_ms = Some(self.now_ms);
                        let tokens = self.requests[open.request].tokens.prompt;
                        let core = &mut self.nodes[open.node].core;
                        core.targets_mut().record_prompt_read(open.key, tokens);
                    }
                }
                TargetEvent::Finished(attempt) => {
                    if let Some(open) = self.attempts.remove(&attempt) {
                        self.finish(open);
                    }
                }
            }
        }
    }

    fn finish(&mut self, open: OpenReplay) {
        let now = self.now();
        let state = &self.requests[open.request];
        let class = &RequestClass::ALL[state.class];
        let first_ms = open.first_ms.unwrap_or(self.now_ms);
        let events = (state.tokens.output as f64 / TOKENS_PER_EVENT).max(1.0) as u32;
        let span = Duration::from_millis(self.now_ms - first_ms);
        let sample = AttemptSample {
            events: u64::from(events),
            hold: Duration::from_millis(self.now_ms - open.started_ms),
            first_event: Some(Duration::from_millis(first_ms - open.started_ms)),
            event_gap: class.is_generation().then_some(span / events),
            longest_gap: None,
            tokens_per_event: TOKENS_PER_EVENT,
        };
        let is_timely = first_ms - state.arrived_ms <= class.target_latency.as_millis() as u64;
        let tally = &mut self.tally.classes[state.class];
        match is_timely {
            true => tally.on_time += u32::from(state.is_counted),
            false => tally.late += u32::from(state.is_counted),
        }
        let core = &mut self.nodes[open.node].core;
        core.targets_mut().end_attempt(open.key);
        open.session.answered(core, &sample, now);
        self.wake_one(open.node, open.request);
    }

    /// Ends the requests whose callers have left.
    fn expire(&mut self) {
        let is_over = |open: &OpenReplay| self.requests[open.request].deadline_ms <= self.now_ms;
        let over: Vec<usize> =
            self.attempts.iter().filter(|(_, open)| is_over(open)).map(|(key, _)| *key).collect();
        for attempt in over {
            let open = self.attempts.remove(&attempt).expect("open");
            self.targets[open.target].2.remove(attempt);
            self.close(open, AttemptEvidence::TimedOut);
        }
    }

    fn expire_waiting(&mut self) {
        let now = self.now();
        for node in 0..self.nodes.len() {
            let over: Vec<QueuePosition> = self.nodes[node]
                .waiting
                .iter()
                .filter(|(_, (_, until, _))| *until <= now)
                .map(|(position, _)| *position)
                .collect();
            over.into_iter().for_each(|position| self.call(node, position));
        }
    }

    /// Lets a waiting request try again.
    fn call(&mut self, node: usize, position: QueuePosition) {
        let state = &mut self.nodes[node];
        if let Some((session, _, request)) = state.waiting.remove(&position) {
            state.core.waiting_mut().leave(&session.service().clone(), &position);
            self.place(session, request, node);
        }
    }

    fn wake_one(&mut self, node: usize, request: usize) {
        let class = &RequestClass::ALL[self.requests[request].class];
        self.wake(node, class.service(), 1);
    }

    fn wake(&mut self, node: usize, service: &str, count: u32) {
        let service = ServiceName::new(service);
        let (mut woken, mut first_runs) = (Vec::new(), 0);
        while first_runs < count {
            let draw = self.random.random();
            let core = &mut self.nodes[node].core;
            let Some(position) = core.waiting().next(&service, draw) else { break };
            core.waiting_mut().leave(&service, &position);
            first_runs += u32::from(position.is_first_run());
            woken.push(position);
        }
        woken.into_iter().for_each(|position| self.call(node, position));
    }

    pub(super) fn wake_all(&mut self, node: usize) {
        for service in ["llm", "app"] {
            let core = &self.nodes[node].core;
            let free = core.targets().free_slots(service, self.now());
            let count = free.min(core.waiting().count(service));
            self.wake(node, service, count);
        }
    }
}

fn poisson(random: &mut ChaCha8Rng, expected: f64) -> u32 {
    let (limit, mut product, mut count) = ((-expected).exp(), random.random::<f64>(), 0);
    while product > limit {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}
