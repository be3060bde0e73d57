use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use async_channel::{Receiver, Sender, bounded};
use kwg_clock::ClockHandle;
use kwg_flow::{ControlInput, TrafficInput};
use kwg_model::HomeAddress;
use kwg_peer::LinkCommand;
use kwg_settings::RouterSettings;
use kwg_telemetry::{EventRing, RouterMetrics};

use crate::fleet_cell::FleetCell;
use crate::key_binder::BindRequest;

/// Capacity of a traffic core's input channel, in messages.
const TRAFFIC_BACKLOG: usize = 8_192;
/// Capacity of the control core's input channel, in messages.
const CONTROL_BACKLOG: usize = 4_096;
/// Capacity of the channel of idempotency keys to bind, in requests.
const KEY_BACKLOG: usize = 4_096;
/// Capacity of the link's command channel, in commands.
const LINK_BACKLOG: usize = 8_192;

/// The sending ends of the channels between a router's threads, and the state that they share.
#[derive(Debug, Clone)]
pub(crate) struct RouterPipes {
    pub(crate) settings: Arc<RouterSettings>,
    pub(crate) incarnation: u64,
    pub(crate) clock: ClockHandle,
    pub(crate) events: EventRing,
    pub(crate) metrics: RouterMetrics,
    pub(crate) fleet: FleetCell,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) close_connections: Arc<AtomicBool>,
    pub(crate) control: Sender<ControlInput>,
    pub(crate) link: Sender<LinkCommand>,
    pub(crate) traffic: Arc<[Sender<TrafficInput>]>,
    pub(crate) keys: Sender<BindRequest>,
    pub(crate) drained: Sender<bool>,
}

/// The receiving ends of the channels.
#[derive(Debug)]
pub(crate) struct PipeEnds {
    pub(crate) control: Receiver<ControlInput>,
    pub(crate) link: Receiver<LinkCommand>,
    pub(crate) traffic: Vec<Receiver<TrafficInput>>,
    pub(crate) keys: Receiver<BindRequest>,
    /// Receives, once per traffic core, whether its ledgers were handed over.
    pub(crate) drained: Receiver<bool>,
}

impl RouterPipes {
    pub(crate) fn new(
        settings: RouterSettings,
        incarnation: u64,
        clock: ClockHandle,
        events: EventRing,
    ) -> (Self, PipeEnds) {
        let threads = usize::from(settings.threads);
        let (control, control_end) = bounded(CONTROL_BACKLOG);
        let (link, link_end) = bounded(LINK_BACKLOG);
        let (drained, drained_end) = bounded(threads);
        let (keys, keys_end) = bounded(KEY_BACKLOG);
        let pipes = (0..threads).map(|_| bounded(TRAFFIC_BACKLOG));
        let (traffic, traffic_ends): (Vec<_>, Vec<_>) = pipes.unzip();
        let pipes = Self {
            metrics: RouterMetrics::with_shards(settings.threads),
            settings: Arc::new(settings),
            incarnation,
            clock,
            events,
            fleet: FleetCell::default(),
            ready: Arc::default(),
            close_connections: Arc::default(),
            control,
            link,
            traffic: traffic.into(),
            keys,
            drained,
        };
        let ends = PipeEnds {
            control: control_end,
            link: link_end,
            traffic: traffic_ends,
            keys: keys_end,
            drained: drained_end,
        };
        (pipes, ends)
    }

    /// Returns the address of the traffic core of a shard in this incarnation.
    pub(crate) fn core_address(&self, shard: u16) -> HomeAddress {
        let instance = self.settings.name.clone();
        HomeAddress { instance, incarnation: self.incarnation, shard }
    }

    /// Sends an input to the traffic core at `to`.
    ///
    /// The input is dropped and counted as a peer fault if `to` belongs to another incarnation of
    /// this instance or the core's channel is full; cores repeat the messages that they depend on.
    pub(crate) fn send_to_core(&self, to: &HomeAddress, input: TrafficInput) {
        let is_own = *to == self.core_address(to.shard);
        let Some(pipe) = self.traffic.get(usize::from(to.shard)).filter(|_| is_own) else {
            return self.metrics.record_peer_fault("other-run");
        };
        if pipe.try_send(input).is_err() {
            self.metrics.record_peer_fault("core-busy");
        }
    }
}
