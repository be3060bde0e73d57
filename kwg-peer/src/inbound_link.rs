use std::sync::Arc;

use async_channel::Sender;
use kwg_model::InstanceName;
use kwg_telemetry::HybridClock;
use kwg_wire::{FrameReader, PeerBody};
use quinn::{Connection, Incoming, RecvStream};
use rustls_pki_types::CertificateDer;

use crate::{LinkCommand, LinkSink, TlsIdentity};

/// Largest number of bytes taken from a stream at once.
const READ_BYTES: usize = 64 << 10;

/// Receiving end of a link that another instance has opened; frames flow only to this instance.
pub(crate) struct InboundLink<S> {
    pub(crate) hybrid_clock: HybridClock,
    pub(crate) commands: Sender<LinkCommand>,
    pub(crate) sink: Arc<S>,
}

/// Protocol violation for which a link is closed; the value is the close code.
#[derive(Debug, Clone, Copy)]
enum LinkFault {
    /// The sender sent a malformed frame.
    Malformed = 1,
    /// The sender's name does not match its certificate, or its hello is missing or repeated.
    Unauthenticated = 2,
}

impl LinkFault {
    fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "malformed-frame",
            Self::Unauthenticated => "impostor",
        }
    }
}

impl<S: LinkSink> InboundLink<S> {
    /// Reads the streams of a connection until it closes or violates the protocol.
    pub(crate) async fn serve(self, incoming: Incoming) {
        let Ok(connection) = incoming.await else {
            return self.sink.record_fault("handshake");
        };
        while let Ok(stream) = connection.accept_uni().await {
            if let Err(fault) = self.read_stream(&connection, stream).await {
                self.sink.record_fault(fault.reason());
                connection.close((fault as u32).into(), fault.reason().as_bytes());
                return;
            }
        }
    }

    /// Passes the frames of a stream to the sink. The first frame must name the sender as in its
    /// certificate.
    async fn read_stream(
        &self,
        connection: &Connection,
        mut stream: RecvStream,
    ) -> Result<(), LinkFault> {
        let mut frames = FrameReader::default();
        let mut sender: Option<InstanceName> = None;
        // An idle link holds no read buffer: an instance may have links from a whole domain.
        while let Ok(Some(chunk)) = stream.read_chunk(READ_BYTES, true).await {
            frames.push(&chunk.bytes);
            while let Some(frame) = frames.next_frame().map_err(|_| LinkFault::Malformed)? {
                self.hybrid_clock.observe(frame.stamp);
                match (frame.body, &sender) {
                    (PeerBody::Hello { instance, incarnation }, None)
                        if is_certified_as(connection, &instance) =>
                    {
                        let from = instance.clone();
                        let connected = LinkCommand::Connected { from, incarnation };
                        drop(self.commands.try_send(connected));
                        sender = Some(instance);
                    }
                    (PeerBody::Hello { .. }, _) | (_, None) => {
                        return Err(LinkFault::Unauthenticated);
                    }
                    (body, Some(sender)) => self.sink.deliver(sender.clone(), body),
                }
            }
        }
        Ok(())
    }
}

fn is_certified_as(connection: &Connection, name: &InstanceName) -> bool {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    let certificate = chain.as_ref().and_then(|chain| chain.first());
    certificate
        .is_some_and(|certificate| TlsIdentity::is_certificate_of(certificate, name.as_str()))
}
