use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::thread::{Builder, JoinHandle};

use async_channel::Receiver;
use async_io::{Async, block_on};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use kwg_clock::ClockHandle;
use kwg_flow::{ControlInput, TrafficInput};
use kwg_settings::RouterSettings;
use kwg_telemetry::{EventLine, EventRing, HybridClock};
use rand::random;
use snafu::ResultExt;

use crate::RouterError;
use crate::control_thread::ControlThread;
use crate::link_thread::LinkThread;
use crate::router_error::{ListenSnafu, SignalsSnafu, ThreadLostSnafu, ThreadSnafu};
use crate::router_pipes::{PipeEnds, RouterPipes};
use crate::traffic_thread::TrafficThread;

/// Starts, supervises and stops the threads of a router.
#[derive(Debug)]
pub struct RouterProcess;

/// How a router's shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterOutcome {
    /// Whether every accepted request had ended.
    pub drained: bool,
    /// Whether a successor took over all ledgers.
    pub handed_over: bool,
}

impl RouterProcess {
    /// Runs a router until SIGTERM or SIGINT, then drains it.
    ///
    /// # Errors
    /// [`RouterError`] if an address or key cannot be used, in which case no thread was started, or
    /// if a thread cannot be spawned or panicked.
    pub fn run(settings: RouterSettings) -> Result<RouterOutcome, RouterError> {
        let incarnation: u64 = random();
        let clock = ClockHandle::system();
        let events = EventRing::new(HybridClock::default(), settings.name.as_str(), incarnation);
        let front = listen(settings.front, "callers")?;
        let admin = listen(settings.admin, "operators")?;
        let (pipes, ends) = RouterPipes::new(settings, incarnation, clock, events);
        let PipeEnds { control, link, traffic, keys, drained } = ends;
        let link = LinkThread::bind(&pipes, link)?;
        let signals = Signals::new([Signal::Term, Signal::Int]).context(SignalsSnafu)?;
        let admin = Async::new(admin).context(listen_error(&pipes, "operators"))?;
        let mut fronts = Vec::new();
        for _ in &traffic {
            let listener = front.try_clone().and_then(Async::new);
            fronts.push(listener.context(listen_error(&pipes, "callers"))?);
        }
        pipes.events.record(started_line(&pipes));
        let link = start("kwg-link", move || link.run())?;
        let control_pipes = pipes.clone();
        let control_loop = move || ControlThread::new(control_pipes).run(control, keys, admin);
        let control = start("kwg-control", control_loop)?;
        for (shard, (inputs, listener)) in (0..).zip(traffic.into_iter().zip(fronts)) {
            let pipes = pipes.clone();
            let name = format!("kwg-traffic-{shard}");
            start(&name, move || TrafficThread::new(pipes, shard, random()).run(inputs, listener))?;
        }
        let outcome = block_on(supervise(&pipes, signals, &drained));
        pipes.events.record(stopped_line(outcome));
        pipes.control.close();
        join(control, "kwg-control")?;
        pipes.link.close();
        join(link, "kwg-link")?;
        Ok(outcome)
    }
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, RouterError> {
    TcpListener::bind(address).context(ListenSnafu { purpose, address })
}

fn listen_error(
    pipes: &RouterPipes,
    purpose: &'static str,
) -> ListenSnafu<&'static str, SocketAddr> {
    ListenSnafu { purpose, address: pipes.settings.front }
}

fn start(name: &str, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, RouterError> {
    Builder::new().name(name.to_owned()).spawn(run).context(ThreadSnafu { name })
}

fn join(thread: JoinHandle<()>, name: &str) -> Result<(), RouterError> {
    thread.join().map_err(|_| ThreadLostSnafu { name }.build())
}

fn started_line(pipes: &RouterPipes) -> EventLine {
    let settings = &pipes.settings;
    EventLine::new("started")
        .field("front", settings.front)
        .field("admin", settings.admin)
        .field("peer", settings.peer.address)
        .field("threads", settings.threads)
}

fn stopped_line(outcome: RouterOutcome) -> EventLine {
    EventLine::new("stopped")
        .field("drained", outcome.drained)
        .field("handed_over", outcome.handed_over)
}

/// Waits for a stop signal, then drains the router.
///
/// The router keeps serving for `drain_notice`, so that load balancers see that it is not ready,
/// then the traffic cores finish the accepted requests. A second signal, or `drain_timeout` past
/// the notice, ends the drain early.
async fn supervise(
    pipes: &RouterPipes,
    mut signals: Signals,
    drained: &Receiver<bool>,
) -> RouterOutcome {
    signals.next().await;
    pipes.events.record(EventLine::new("draining"));
    pipes.close_connections.store(true, Ordering::Relaxed);
    pipes.ready.store(false, Ordering::Relaxed);
    drop(pipes.control.send(ControlInput::Drain).await);
    let aborted = async {
        let timeout = pipes.settings.drain_notice + pipes.settings.drain_timeout;
        let second_signal = async {
            signals.next().await;
        };
        second_signal.or(pipes.clock.sleep(timeout)).await;
        RouterOutcome { drained: false, handed_over: false }
    };
    let drain = async {
        pipes.clock.sleep(pipes.settings.drain_notice).await;
        for core in pipes.traffic.iter() {
            drop(core.send(TrafficInput::Drain).await);
        }
        let mut handed_over = true;
        for _ in pipes.traffic.iter() {
            handed_over &= drained.recv().await.unwrap_or(false);
        }
        RouterOutcome { drained: true, handed_over }
    };
    drain.or(aborted).await
}
