use std::cell::{Cell, RefCell};
use std::rc::Rc;

use kwg_adapter::TargetCodec;
use kwg_clock::ClockHandle;
use kwg_gate::{
    CallerLedger, CallerLimits, CallerOptions, GateCore, LONGEST_PAUSE, StandingSource,
    StandingState, TargetKey,
};
use kwg_h1::ReplyHead;
use kwg_model::MonoTime;
use kwg_telemetry::EventLine;

use super::connection_pool::ConnectionPool;
use super::front_log::FrontLog;
use super::stop_signal::StopSignal;
use super::wait_notifier::WaitNotifier;
use crate::gateway_metrics::GatewayMetrics;

/// State shared by the tasks of the traffic thread. `RefCell` borrows end before any await.
#[derive(Debug)]
pub(crate) struct TrafficState {
    pub(crate) core: RefCell<GateCore>,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) wait_notifier: WaitNotifier,
    pub(crate) clock: ClockHandle,
    pub(crate) metrics: GatewayMetrics,
    /// Set by [`TrafficInput::Stop`](crate::gateway_pipes::TrafficInput::Stop): the instance
    /// reports not ready and keeps no connection alive.
    pub(crate) is_stopping: Cell<bool>,
    /// Set by [`TrafficInput::CloseIdle`](crate::gateway_pipes::TrafficInput::CloseIdle): further
    /// requests are refused.
    pub(crate) is_front_closed: Cell<bool>,
    /// The memory and the connections that callers use.
    pub(crate) callers: Rc<RefCell<CallerLedger>>,
    pub(crate) front_log: FrontLog,
    /// When every request must have its outcome; none while the instance does not stop.
    pub(crate) end: Cell<Option<MonoTime>>,
    close_idle: StopSignal,
    end_requests: StopSignal,
}

impl TrafficState {
    pub(crate) fn new(
        core: GateCore,
        clock: ClockHandle,
        metrics: GatewayMetrics,
        callers: CallerOptions,
    ) -> Rc<Self> {
        Rc::new(Self {
            core: RefCell::new(core),
            pool: RefCell::default(),
            wait_notifier: WaitNotifier::default(),
            clock,
            metrics,
            is_stopping: Cell::new(false),
            is_front_closed: Cell::new(false),
            callers: Rc::new(RefCell::new(CallerLedger::new(callers))),
            front_log: FrontLog::default(),
            end: Cell::new(None),
            close_idle: StopSignal::new(),
            end_requests: StopSignal::new(),
        })
    }

    /// Applies what a target says of itself in the head of a reply, and logs a change.
    pub(crate) fn record_word(&self, target: TargetKey, head: &ReplyHead) {
        let (word, bad_pause) = TargetCodec::decode_word(head);
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        let changed = core.targets_mut().record_word(target, word, now);
        if let Some(left) = TargetCodec::decode_cold(head) {
            core.targets_mut().record_cold(target, left, now);
        }
        let name = core.targets().entry(target).map_or("gone", |entry| entry.id.as_str());
        if let Some(text) = bad_pause {
            let line = EventLine::new("pause-unreadable").field("target", name);
            log::warn!("{}", line.field("retry_after", text));
        }
        if let Some(pause) = word.pause.filter(|pause| *pause > LONGEST_PAUSE) {
            let line = EventLine::new("pause-cut").field("target", name);
            let line = line.field("stated_s", pause.as_secs());
            log::warn!("{}", line.field("cut_to_s", LONGEST_PAUSE.as_secs()));
        }
        if let Some(state) = changed {
            let line = EventLine::new("target-standing").field("target", name);
            let line = line.field("state", state.as_str());
            let line = match state {
                StandingState::Open => line,
                StandingState::Paused { until } => {
                    line.field("for_ms", until.since(now).as_millis())
                }
                StandingState::Leaving { source, .. } => line.field("source", source.as_str()),
            };
            log::info!("{line}");
            let source = match state {
                StandingState::Leaving { source, .. } => source,
                _ => StandingSource::Target,
            };
            self.metrics.record_standing(state.as_str(), source);
        }
    }

    /// Updates the metrics of what callers use.
    pub(crate) fn record_callers(&self) {
        let callers = self.callers.borrow();
        self.metrics.set_callers(callers.open_count(), callers.held_bytes());
    }

    /// Whether load balancers should route new connections to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.core.borrow().is_ready(self.clock.now())
    }

    /// The size and time limits for callers' requests.
    pub(crate) fn limits(&self) -> CallerLimits {
        let core = self.core.borrow();
        core.table().map_or_else(CallerLimits::default, |table| table.limits())
    }

    /// Signals idle connections to close.
    pub(crate) fn close_idle(&self) {
        self.close_idle.give();
    }

    /// Waits for the signal of [`Self::close_idle`].
    pub(crate) async fn wait_close_idle(&self) {
        self.close_idle.wait().await;
    }

    /// Ends the requests that still run when the process is about to exit: waits for that time, and
    /// then forever.
    pub(crate) async fn end_requests(&self) {
        if let Some(end) = self.end.get() {
            self.clock.sleep_until(end).await;
            self.end_requests.give();
        }
        std::future::pending::<()>().await;
    }

    /// Waits until the requests that still run are ended.
    pub(crate) async fn wait_end(&self) {
        self.end_requests.wait().await;
    }
}
