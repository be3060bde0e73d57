use std::fmt::Display;
use std::net::{SocketAddr, TcpListener};
use std::thread::Builder;
use std::time::Duration;

use async_channel::bounded;
use async_io::block_on;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use kwg_clock::ClockHandle;
use kwg_settings::GatewaySettings;
use kwg_telemetry::EventLine;
use rand::random;
use snafu::ResultExt;

use crate::GatewayError;
use crate::control::ControlThread;
use crate::gateway_error::{ListenSnafu, SignalsSnafu, ThreadSnafu};
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::{GatewayPipes, TrafficInput};
use crate::traffic::TrafficThread;

/// How long callers are still accepted after a stop. A load balancer needs two failed readiness
/// checks, one second apart, to route elsewhere; requests accepted later might not end within
/// the grace period. At most half of the time that requests have.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_800);
/// How often the settings are re-read without a signal, so that a change takes effect within
/// seconds.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(3);
/// Time reserved at the end of the grace period, before the process would be killed.
const GRACE_RESERVE: Duration = Duration::from_millis(400);
/// Time reserved before that, in which the last outcomes are written to their callers.
const OUTCOME_RESERVE: Duration = Duration::from_millis(200);

/// The threads and the signal loop of a gateway process.
#[derive(Debug)]
pub struct GatewayProcess;

/// The result of a gateway's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayOutcome {
    /// Whether all accepted requests ended within the settings' grace period, less a
    /// reserve of 400 ms.
    pub drained: bool,
}

impl GatewayProcess {
    /// Runs a gateway until SIGTERM or SIGINT, then drains it.
    ///
    /// On SIGHUP, and every few seconds, `reload` re-reads the settings; only changes of the retry
    /// budget and the quota tolerances take effect.
    ///
    /// # Errors
    /// [`GatewayError`] if an address cannot be bound, signal handlers cannot be installed or a
    /// thread cannot be spawned. No thread has been started in the first two cases.
    pub fn run<E: Display>(
        settings: GatewaySettings,
        reload: impl Fn() -> Result<GatewaySettings, E>,
    ) -> Result<GatewayOutcome, GatewayError> {
        // Random id of this run of the process, which tells it apart from earlier runs.
        let run_id: u64 = random();
        let clock = ClockHandle::system();
        let front = listen(settings.front, "callers")?;
        let ready = listen(settings.ready, "readiness")?;
        let metrics_listener = listen(settings.metrics, "metrics")?;
        let signals = [Signal::Term, Signal::Int, Signal::Hup];
        let mut signals = Signals::new(signals).context(SignalsSnafu)?;
        let metrics = GatewayMetrics::new();
        let pipes = GatewayPipes::new();
        let (done_sender, done_receiver) = bounded::<()>(1);
        let (leave_sender, leave_receiver) = bounded::<()>(1);
        let (end_sender, end_receiver) = bounded::<()>(1);
        let started = EventLine::new("started").field("instance", &settings.name);
        log::info!(
            "{}",
            started.field("run", format!("{run_id:016x}")).field("front", settings.front)
        );
        let (grace, options) = (settings.grace, settings.gate.clone());
        let control = ControlThread {
            settings: settings.clone(),
            run_id,
            clock: clock.clone(),
            metrics: metrics.clone(),
            metrics_listener,
            traffic: pipes.to_traffic.clone(),
            reports: pipes.from_traffic.clone(),
            leaving: leave_receiver,
            ending: end_receiver,
        };
        let control = start("kwg-control", move || control.run())?;
        let traffic = TrafficThread {
            settings,
            run_id,
            clock: clock.clone(),
            metrics,
            front,
            ready,
            inputs: pipes.from_control.clone(),
            reports: pipes.to_control.clone(),
            done: done_sender,
        };
        start("kwg-traffic", move || traffic.run())?;
        let send = |input: TrafficInput| {
            if pipes.to_traffic.try_send(input).is_err() {
                log::debug!("event=traffic-gone");
            }
        };
        let mut in_force = options;
        let mut last_error = String::new();
        block_on(async {
            loop {
                let due = async {
                    clock.sleep(SETTINGS_INTERVAL).await;
                    Some(Ok(Signal::Hup))
                };
                match signals.next().or(due).await {
                    Some(Ok(Signal::Hup)) => match reload() {
                        Ok(fresh) if fresh.gate != in_force => {
                            log::info!("event=reload result=taken");
                            in_force = fresh.gate.clone();
                            last_error.clear();
                            send(TrafficInput::Options(fresh.gate));
                        }
                        Ok(_) => last_error.clear(),
                        Err(error) if error.to_string() != last_error => {
                            last_error = error.to_string();
                            log::error!("event=reload result=refused error=\"{last_error}\"");
                        }
                        Err(_) => log::debug!("event=reload result=refused-again"),
                    },
                    Some(Ok(_)) | None => break,
                    Some(Err(error)) => log::warn!("event=signal-failed error=\"{error}\""),
                }
            }
        });
        let running = grace.saturating_sub(GRACE_RESERVE + OUTCOME_RESERVE);
        let accepting = ACCEPT_AFTER_STOP.min(running / 2);
        send(TrafficInput::Stop(clock.now() + running));
        drop(leave_sender);
        let drained = block_on(async {
            clock.sleep(accepting).await;
            send(TrafficInput::CloseIdle);
            let ended = async {
                // An error means that the traffic thread has dropped its sender.
                while done_receiver.recv().await.is_ok() {}
                true
            };
            let timeout = async {
                clock.sleep(grace.saturating_sub(accepting + GRACE_RESERVE)).await;
                false
            };
            ended.or(timeout).await
        });
        log::info!("event=stopped drained={drained}");
        drop(end_sender);
        if control.join().is_err() {
            log::error!("event=thread-lost thread=kwg-control");
        }
        Ok(GatewayOutcome { drained })
    }
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).context(ListenSnafu { purpose, address })
}

fn start(
    name: &'static str,
    run: impl FnOnce() + Send + 'static,
) -> Result<std::thread::JoinHandle<()>, GatewayError> {
    Builder::new().name(name.to_owned()).spawn(run).context(ThreadSnafu { name })
}
