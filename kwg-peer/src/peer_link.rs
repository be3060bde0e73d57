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
use crate::peer_sender::PeerSender;
use crate::{LinkError, LinkRuntime, LinkSink, TlsIdentity};

/// Identity, address and clocks of an instance's peer links.
#[derive(Debug)]
pub struct LinkOptions {
    /// This instance's name.
    pub instance: InstanceName,
    /// The number of its current run.
    pub incarnation: u64,
    /// The UDP address that it listens on.
    pub address: SocketAddr,
    /// Its certificate and key.
    pub identity: TlsIdentity,
    /// The clock for all timeouts.
    pub clock: ClockHandle,
    /// The hybrid clock that stamps frames.
    pub hybrid_clock: HybridClock,
    /// Capacity of the queue of frames for one peer; frames beyond it are dropped.
    pub backlog: usize,
}

/// A command to [`PeerLink::run`].
#[derive(Debug)]
pub enum LinkCommand {
    /// Sends a message to a peer.
    Send {
        /// The peer.
        to: InstanceName,
        /// The message.
        body: PeerBody,
    },
    /// Replaces the addresses of all peers.
    Addresses(HashMap<InstanceName, SocketAddr>),
    /// Reports that a peer has connected. If its run has changed, the outgoing link to the
    /// earlier run is dropped at once, since otherwise only a timeout would reveal that it is dead.
    Connected {
        /// The peer.
        from: InstanceName,
        /// The number of its current run.
        incarnation: u64,
    },
}

/// Manages all incoming and outgoing links of an instance.
pub struct PeerLink<S> {
    options: LinkOptions,
    endpoint: Endpoint,
    executor: Arc<Executor<'static>>,
    sink: Arc<S>,
    commands: Sender<LinkCommand>,
    addresses: HashMap<InstanceName, SocketAddr>,
    incarnations: HashMap<InstanceName, u64>,
    senders: HashMap<InstanceName, (SocketAddr, Sender<PeerBody>)>,
}

impl<S> std::fmt::Debug for PeerLink<S> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerLink").field("own", &self.options.instance).finish_non_exhaustive()
    }
}

impl<S: LinkSink> PeerLink<S> {
    /// Binds the address and starts listening.
    ///
    /// All tasks run on `executor`, which the caller must drive. `commands` is the sending end of
    /// the channel passed to [`Self::run`].
    ///
    /// # Errors
    /// [`LinkError::Bind`] if the address cannot be bound.
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
            incarnations: HashMap::new(),
            senders: HashMap::new(),
        })
    }

    /// Accepts links and executes commands until their channel is closed, then closes all links.
    ///
    /// The channel must be closed explicitly: the link holds a sender of its own, so dropping the
    /// other senders does not end it.
    pub async fn run(mut self, commands: Receiver<LinkCommand>) {
        let accepting = self.executor.spawn(accept_links(
            self.endpoint.clone(),
            Arc::clone(&self.executor),
            self.options.hybrid_clock.clone(),
            self.commands.clone(),
            Arc::clone(&self.sink),
        ));
        while let Ok(command) = commands.recv().await {
            match command {
                LinkCommand::Send { to, body } => self.send(to, body),
                LinkCommand::Addresses(addresses) => self.addresses = addresses,
                LinkCommand::Connected { from, incarnation } => {
                    let previous = self.incarnations.insert(from.clone(), incarnation);
                    if previous.is_some_and(|previous| previous != incarnation) {
                        self.senders.remove(&from);
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
            return self.sink.record_fault("no-address");
        };
        let is_current = self.senders.get(&to).is_some_and(|(known, _)| *known == address);
        if !is_current {
            let sender = self.start_sender(to.clone(), address);
            self.senders.insert(to.clone(), (address, sender));
        }
        let (_, sender) = &self.senders[&to];
        match sender.try_send(body) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => self.sink.record_fault("lane-full"),
            Err(TrySendError::Closed(_)) => self.sink.record_fault("lane-closed"),
        }
    }

    fn start_sender(&self, peer: InstanceName, address: SocketAddr) -> Sender<PeerBody> {
        let (bodies, receiver) = bounded(self.options.backlog);
        let sender = PeerSender {
            instance: self.options.instance.clone(),
            incarnation: self.options.incarnation,
            peer,
            address,
            endpoint: self.endpoint.clone(),
            clock: self.options.clock.clone(),
            hybrid_clock: self.options.hybrid_clock.clone(),
            sink: Arc::clone(&self.sink),
        };
        self.executor.spawn(sender.run(receiver)).detach();
        bodies
    }
}

async fn accept_links<S: LinkSink>(
    endpoint: Endpoint,
    executor: Arc<Executor<'static>>,
    hybrid_clock: HybridClock,
    commands: Sender<LinkCommand>,
    sink: Arc<S>,
) {
    while let Some(incoming) = endpoint.accept().await {
        let inbound = InboundLink {
            hybrid_clock: hybrid_clock.clone(),
            commands: commands.clone(),
            sink: Arc::clone(&sink),
        };
        executor.spawn(inbound.serve(incoming)).detach();
    }
}
