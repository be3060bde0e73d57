use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_channel::{Receiver, Sender, TrySendError, bounded};
use async_executor::Executor;
use kwg_clock::ClockHandle;
use kwg_model::InstanceName;
use kwg_telemetry::HybridClock;
use kwg_wire::PeerBody;
use quinn::{Endpoint, EndpointConfig};
use snafu::ResultExt;

use crate::inbound_link::InboundLink;
use crate::link_error::BindSnafu;
use crate::peer_lane::PeerLane;
use crate::{LinkError, LinkRuntime, LinkSink, TlsIdentity};

/// Most frames that wait for one router.
const LANE_FRAMES: usize = 4_096;

/// Where and as whom a link stands.
#[derive(Debug)]
pub struct LinkOptions {
    /// This router.
    pub own: InstanceName,
    /// Its run.
    pub incarnation: u64,
    /// Where it listens, over UDP.
    pub address: SocketAddr,
    /// Its keys.
    pub identity: TlsIdentity,
    /// The clock of every timeout.
    pub clock: ClockHandle,
    /// The clock that stamps frames.
    pub stamps: HybridClock,
}

/// What a link is told to do.
#[derive(Debug)]
pub enum LinkCommand {
    /// Send a message to a router.
    Send {
        /// The router.
        to: InstanceName,
        /// The message.
        body: PeerBody,
    },
    /// These are the routers' addresses now.
    Addresses(HashMap<InstanceName, SocketAddr>),
    /// A router has connected, in this run: a link to an earlier run of it is dead, though it
    /// would take a timeout to notice.
    Connected {
        /// The router.
        from: InstanceName,
        /// Its run.
        incarnation: u64,
    },
}

/// Both directions of all links of a router.
pub struct PeerLink<S> {
    options: LinkOptions,
    endpoint: Endpoint,
    executor: Arc<Executor<'static>>,
    sink: Arc<S>,
    commands: Sender<LinkCommand>,
    addresses: HashMap<InstanceName, SocketAddr>,
    runs: HashMap<InstanceName, u64>,
    lanes: HashMap<InstanceName, (SocketAddr, Sender<PeerBody>)>,
}

impl<S> std::fmt::Debug for PeerLink<S> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerLink").field("own", &self.options.own).finish_non_exhaustive()
    }
}

impl<S: LinkSink> PeerLink<S> {
    /// Begins to listen. Everything runs on `executor`, whoever drives that; `commands` is the
    /// way to [`Self::run`].
    ///
    /// # Errors
    /// [`LinkError::Bind`] if the address cannot be listened on.
    pub fn bind(
        options: LinkOptions,
        executor: Arc<Executor<'static>>,
        commands: Sender<LinkCommand>,
        sink: Arc<S>,
    ) -> Result<Self, LinkError> {
        let address = options.address;
        let socket = UdpSocket::bind(address).context(BindSnafu { address })?;
        let runtime = Arc::new(LinkRuntime::new(Arc::clone(&executor)));
        let server = options.identity.server.clone();
        let endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime);
        let mut endpoint = endpoint.context(BindSnafu { address })?;
        endpoint.set_default_client_config(options.identity.client.clone());
        Ok(Self {
            options,
            endpoint,
            executor,
            sink,
            commands,
            addresses: HashMap::new(),
            runs: HashMap::new(),
            lanes: HashMap::new(),
        })
    }

    /// Takes commands until their channel is closed.
    pub async fn run(mut self, commands: Receiver<LinkCommand>) {
        let accepting = self.executor.spawn(accept_links(
            self.endpoint.clone(),
            Arc::clone(&self.executor),
            self.options.stamps.clone(),
            self.commands.clone(),
            Arc::clone(&self.sink),
        ));
        while let Ok(command) = commands.recv().await {
            match command {
                LinkCommand::Send { to, body } => self.send(to, body),
                LinkCommand::Addresses(addresses) => self.addresses = addresses,
                LinkCommand::Connected { from, incarnation } => {
                    let known = self.runs.insert(from.clone(), incarnation);
                    if known.is_some_and(|known| known != incarnation) {
                        self.lanes.remove(&from);
                    }
                }
            }
        }
        drop(accepting);
        self.endpoint.close(0_u32.into(), b"stopping");
        self.endpoint.wait_idle().await;
    }

    fn send(&mut self, to: InstanceName, body: PeerBody) {
        let Some(address) = self.addresses.get(&to).copied() else {
            return self.sink.note_fault("no-address");
        };
        let is_current = self.lanes.get(&to).is_some_and(|(known, _)| *known == address);
        if !is_current {
            let lane = self.open_lane(to.clone(), address);
            self.lanes.insert(to.clone(), (address, lane));
        }
        let (_, lane) = &self.lanes[&to];
        match lane.try_send(body) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => self.sink.note_fault("lane-full"),
            Err(TrySendError::Closed(_)) => self.sink.note_fault("lane-closed"),
        }
    }

    fn open_lane(&self, peer: InstanceName, address: SocketAddr) -> Sender<PeerBody> {
        let (sender, receiver) = bounded(LANE_FRAMES);
        let lane = PeerLane {
            own: self.options.own.clone(),
            incarnation: self.options.incarnation,
            peer,
            address,
            endpoint: self.endpoint.clone(),
            clock: self.options.clock.clone(),
            stamps: self.options.stamps.clone(),
            sink: Arc::clone(&self.sink),
        };
        self.executor.spawn(lane.run(receiver)).detach();
        sender
    }
}

async fn accept_links<S: LinkSink>(
    endpoint: Endpoint,
    executor: Arc<Executor<'static>>,
    stamps: HybridClock,
    commands: Sender<LinkCommand>,
    sink: Arc<S>,
) {
    while let Some(incoming) = endpoint.accept().await {
        let inbound = InboundLink {
            stamps: stamps.clone(),
            commands: commands.clone(),
            sink: Arc::clone(&sink),
        };
        executor.spawn(inbound.serve(incoming)).detach();
    }
}
