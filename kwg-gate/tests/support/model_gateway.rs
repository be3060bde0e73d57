//! One gateway of a fleet under virtual time.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::BTreeSet;
use std::time::Duration;

use kwg_gate::{
    Admitted, AttemptSample, Dispatched, DomainMap, GateCore, GateOptions, GateSession,
    RetryBudgetOptions,
};
use kwg_model::MonoTime;

use crate::digest_node::DigestNode;

/// Time until the first event of an answer, and after which a request that ends its target does so.
const RUN_MS: u64 = 40;

/// A request at work.
#[derive(Debug)]
pub struct RunningRequest {
    pub session: GateSession<Dispatched>,
    pub content: u64,
    pub target: String,
    /// Start of the run of the target that has the request.
    pub born: u64,
    pub since: u64,
    pub has_begun: bool,
}

/// A request that waits to be placed again.
#[derive(Debug)]
pub struct WaitingRequest {
    pub session: GateSession<Admitted>,
    pub content: u64,
    pub look: u64,
}

/// A gateway: its decisions, its digests and its requests.
#[derive(Debug)]
pub struct ModelGateway {
    pub core: GateCore,
    pub node: DigestNode,
    pub phase: u64,
    pub running: Vec<RunningRequest>,
    pub waiting: Vec<WaitingRequest>,
}

/// What became of the requests that were due at a gateway.
#[derive(Debug, Default)]
pub struct DueRequests {
    /// Contents that were answered.
    pub answered: Vec<u64>,
    /// Requests whose time is over, at targets that have ended.
    pub timed_out: Vec<RunningRequest>,
}

impl RunningRequest {
    /// Whether its answer begins by now.
    pub fn begins(&self, now_ms: u64) -> bool {
        self.since + RUN_MS <= now_ms
    }
}

impl ModelGateway {
    /// A gateway that starts, without tables, with a retry budget that is never spent.
    pub fn new(domains: DomainMap, node: DigestNode, phase: u64, now: MonoTime) -> Self {
        let retry =
            RetryBudgetOptions { ratio: 10.0, extra: 1_000.0, window: Duration::from_secs(10) };
        let mut core = GateCore::new(GateOptions { domains, retry, ..GateOptions::default() });
        core.begin_joining(now);
        Self { core, node, phase, running: Vec::new(), waiting: Vec::new() }
    }

    /// Begins and ends the answers that are due at targets in `live`, by name and start. An answer takes `answer_ms`
    /// from its first event.
    pub fn end_due(
        &mut self,
        live: &BTreeSet<(&str, u64)>,
        now_ms: u64,
        answer_ms: u64,
    ) -> DueRequests {
        let (now, mut due) = (MonoTime::from_millis(now_ms), DueRequests::default());
        for mut run in std::mem::take(&mut self.running) {
            let is_over = now >= run.session.due();
            let is_live = live.contains(&(run.target.as_str(), run.born));
            if is_live && !run.has_begun && run.begins(now_ms) {
                run.has_begun = true;
                run.session.mark_begun();
                self.core.record_begun(run.session.details(), now);
            }
            match is_live {
                false if is_over => due.timed_out.push(run),
                true if run.has_begun && run.since + RUN_MS + answer_ms <= now_ms => {
                    self.core.targets_mut().end_attempt(run.session.placement().target);
                    let hold = Duration::from_millis(now_ms - run.since);
                    let sample = AttemptSample {
                        hold,
                        first_event: Some(hold),
                        events: 1,
                        tokens_per_event: 1.0,
                        ..AttemptSample::default()
                    };
                    run.session.answered(&mut self.core, &sample, now);
                    due.answered.push(run.content);
                }
                _ => self.running.push(run),
            }
        }
        due
    }
}
