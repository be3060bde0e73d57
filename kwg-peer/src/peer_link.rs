use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use async_channel::{Receiver, Sender, TrySendError, bounded};
use async_executor::Executor;
use kwg_clock::ClockHandle;
use kwg_model::InstanceName;
use kwg_telemetry::HybridClock;
use kwg_wire::{FrameReader, PeerBody};
use quinn::{Connection, Endpoint, EndpointConfig, Incoming, RecvStream};
use rustls_pki_types::CertificateDer;
use snafu::ResultExt;

use crate::link_error::BindSnafu;
use crate::peer_lane::PeerLane;
use crate::{LinkError, LinkRuntime, LinkSink, TlsIdentity};

/// Most frames that wait for one router.
const LANE_FRAMES: usize = 4_096;
/// Bytes read from a stream at a time.
const READ_BYTES: usize = 64 << 10;
/// Tells the other end that it sent what is no frame.
const MALFORMED_CODE: u32 = 1;
/// Tells the other end that it is not who it claims to be.
const IMPOSTOR_CODE: u32 = 2;

/// Where and as whom a link stands.
#[derive(Debug)]
pub struct LinkOptions {
    /// This router.
    pub own: InstanceName,
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
}

/// Both directions of all links of a router.
pub struct PeerLink<S> {
    options: LinkOptions,
    endpoint: Endpoint,
    executor: Arc<Executor<'static>>,
    sink: Arc<S>,
    addresses: HashMap<InstanceName, SocketAddr>,
    lanes: HashMap<InstanceName, (SocketAddr, Sender<PeerBody>)>,
}

impl<S> std::fmt::Debug for PeerLink<S> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerLink").field("own", &self.options.own).finish_non_exhaustive()
    }
}

impl<S: LinkSink> PeerLink<S> {
    /// Begins to listen. Everything runs on `executor`, whoever drives that.
    ///
    /// # Errors
    /// [`LinkError::Bind`] if the address cannot be listened on.
    pub fn bind(
        options: LinkOptions,
        executor: Arc<Executor<'static>>,
        sink: Arc<S>,
    ) -> Result<Self, LinkError> {
        let address = options.address;
        let socket = UdpSocket::bind(address).context(BindSnafu { address })?;
        let runtime = Arc::new(LinkRuntime::new(Arc::clone(&executor)));
        let server = options.identity.server.clone();
        let endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime);
        let mut endpoint = endpoint.context(BindSnafu { address })?;
        endpoint.set_default_client_config(options.identity.client.clone());
        let (addresses, lanes) = (HashMap::new(), HashMap::new());
        Ok(Self { options, endpoint, executor, sink, addresses, lanes })
    }

    /// Takes commands until their channel is closed.
    pub async fn run(mut self, commands: Receiver<LinkCommand>) {
        let accepting = self.executor.spawn(accept_links(
            self.endpoint.clone(),
            Arc::clone(&self.executor),
            self.options.stamps.clone(),
            Arc::clone(&self.sink),
        ));
        while let Ok(command) = commands.recv().await {
            match command {
                LinkCommand::Send { to, body } => self.send(to, body),
                LinkCommand::Addresses(addresses) => self.addresses = addresses,
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
    sink: Arc<S>,
) {
    while let Some(incoming) = endpoint.accept().await {
        let (stamps, sink) = (stamps.clone(), Arc::clone(&sink));
        executor.spawn(serve_link(incoming, stamps, sink)).detach();
    }
}

async fn serve_link<S: LinkSink>(incoming: Incoming, stamps: HybridClock, sink: Arc<S>) {
    let Ok(connection) = incoming.await else {
        return sink.note_fault("handshake");
    };
    while let Ok(stream) = connection.accept_uni().await {
        if let Err((code, reason)) = read_stream(&connection, stream, &stamps, &sink).await {
            sink.note_fault(reason);
            connection.close(code.into(), reason.as_bytes());
            return;
        }
    }
}

/// Delivers the frames of a stream. The first one says who sends, and is checked against the
/// certificate.
async fn read_stream<S: LinkSink>(
    connection: &Connection,
    mut stream: RecvStream,
    stamps: &HybridClock,
    sink: &Arc<S>,
) -> Result<(), (u32, &'static str)> {
    let mut frames = FrameReader::default();
    let mut sender: Option<InstanceName> = None;
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(Some(count)) = stream.read(&mut buffer).await {
        frames.push(&buffer[..count]);
        loop {
            let frame = frames.next_frame().map_err(|_| (MALFORMED_CODE, "malformed-frame"))?;
            let Some(frame) = frame else { break };
            stamps.observe(frame.stamp);
            match (frame.body, &sender) {
                (PeerBody::Hello(name), _) if is_from(connection, &name) => sender = Some(name),
                (PeerBody::Hello(_), _) | (_, None) => return Err((IMPOSTOR_CODE, "impostor")),
                (body, Some(sender)) => sink.deliver(sender.clone(), body),
            }
        }
    }
    Ok(())
}

fn is_from(connection: &Connection, name: &InstanceName) -> bool {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    let certificate = chain.as_ref().and_then(|chain| chain.first());
    certificate
        .is_some_and(|certificate| TlsIdentity::is_certificate_of(certificate, name.as_str()))
}
