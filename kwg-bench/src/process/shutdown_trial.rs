use std::cell::{Cell, RefCell};
use std::fmt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use rustix::process::Signal;

use super::persistent_caller::{PersistentCaller, RequestEnd};
use crate::{FleetHarness, FleetPlan};

/// Number of concurrent callers.
const CALLERS: usize = 12;

/// Restarts routers in turn under load, with callers that reuse their connections.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownTrial;

/// Results of the restarts and of the requests during them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShutdownTally {
    /// Number of router restarts.
    pub restarts: usize,
    /// Router exits with a code other than 0.
    pub bad_exits: usize,
    /// Requests with a complete and correct answer.
    pub answered: usize,
    /// Requests refused with a complete response or a `failed` event.
    pub refused: usize,
    /// Requests that were not sent because no connection could be made.
    pub not_sent: usize,
    /// Requests whose connection broke before their end, or whose answer was wrong.
    pub cut_off: usize,
    /// Tickets that were dispatched more than once.
    pub dispatched_twice: usize,
}

impl fmt::Display for ShutdownTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { restarts, bad_exits, answered, refused, not_sent, cut_off, dispatched_twice } =
            self;
        write!(
            f,
            "rolling_restarts={restarts} bad_exits={bad_exits} answered={answered} \
             refused={refused} not_sent={not_sent} cut_off={cut_off} \
             dispatched_twice={dispatched_twice}"
        )
    }
}

impl ShutdownTrial {
    /// Makes `restarts` restarts, one router after the other, with the binaries in the directory
    /// `bin`.
    #[must_use]
    pub fn run(bin: &Path, restarts: usize) -> ShutdownTally {
        let plan = FleetPlan { routers: 3, ..FleetPlan::default() };
        let mut harness = FleetHarness::start(bin, &plan);
        let tally = Rc::new(RefCell::new(ShutdownTally::default()));
        // Like the platform's load balancer, callers connect only to routers that are ready.
        let ready = Rc::new(RefCell::new(vec![true; plan.routers]));
        let stopping = Rc::new(Cell::new(false));
        let executor = LocalExecutor::new();
        let fronts = harness.fronts().to_vec();
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let (tally, ready) = (Rc::clone(&tally), Rc::clone(&ready));
                let (stopping, fronts) = (Rc::clone(&stopping), fronts.clone());
                let mut caller = PersistentCaller::new(harness.account_key());
                executor.spawn(async move {
                    for count in number.. {
                        if stopping.get() {
                            break;
                        }
                        let choice = {
                            let ready = ready.borrow();
                            let open: Vec<_> = (0..ready.len()).filter(|n| ready[*n]).collect();
                            open.get(count % open.len().max(1)).copied()
                        };
                        let Some(choice) = choice else {
                            Timer::after(Duration::from_millis(20)).await;
                            continue;
                        };
                        let body = format!("caller {number} request {count}");
                        let end = caller.call(fronts[choice], &body, 30).await;
                        let mut tally = tally.borrow_mut();
                        match end {
                            RequestEnd::Answered => tally.answered += 1,
                            RequestEnd::Refused => tally.refused += 1,
                            RequestEnd::NotSent => tally.not_sent += 1,
                            RequestEnd::CutOff => tally.cut_off += 1,
                        }
                    }
                })
            })
            .collect();
        block_on(executor.run(async {
            for count in 0..restarts {
                let router = count % plan.routers;
                Timer::after(Duration::from_millis(300)).await;
                harness.routers[router].signal(Signal::TERM);
                // Simulates a load balancer that detects the stop after a fifth of the drain notice
                // period.
                Timer::after(Duration::from_millis(plan.drain_notice_ms / 5)).await;
                ready.borrow_mut()[router] = false;
                while harness.routers[router].is_running() {
                    Timer::after(Duration::from_millis(20)).await;
                }
                let status = harness.routers[router].wait();
                let is_clean = status.is_some_and(|status| status.success());
                tally.borrow_mut().bad_exits += usize::from(!is_clean);
                tally.borrow_mut().restarts += 1;
                harness.routers[router].restart();
                while !harness.is_ready(router) {
                    Timer::after(Duration::from_millis(20)).await;
                }
                ready.borrow_mut()[router] = true;
            }
            stopping.set(true);
            for caller in callers {
                caller.await;
            }
        }));
        let dispatched_twice = harness.ticket_log().dispatched_twice();
        let tally = *tally.borrow();
        ShutdownTally { dispatched_twice, ..tally }
    }
}
