use std::sync::Arc;

use async_channel::Sender;
use kwg_model::InstanceName;
use kwg_telemetry::HybridClock;
use kwg_wire::{FrameReader, PeerBody};
use quinn::{Connection, Incoming, RecvStream};
use rustls_pki_types::CertificateDer;

use crate::{LinkCommand, LinkSink, TlsIdentity};

/// Bytes read from a stream at a time.
const READ_BYTES: usize = 64 << 10;

/// A link that another router opened to send on.
pub(crate) struct InboundLink<S> {
    pub(crate) stamps: HybridClock,
    pub(crate) commands: Sender<LinkCommand>,
    pub(crate) sink: Arc<S>,
}

/// Why a link is closed on the other router.
#[derive(Debug, Clone, Copy)]
enum LinkFault {
    /// It sent what is no frame.
    Malformed = 1,
    /// It is not who it claims to be.
    Impostor = 2,
}

impl LinkFault {
    fn reason(self) -> &'static str {
        match self {
            Self::Malformed => "malformed-frame",
            Self::Impostor => "impostor",
        }
    }
}

impl<S: LinkSink> InboundLink<S> {
    /// Takes the streams of a connection until it ends, or does what it must not.
    pub(crate) async fn serve(self, incoming: Incoming) {
        let Ok(connection) = incoming.await else {
            return self.sink.note_fault("handshake");
        };
        while let Ok(stream) = connection.accept_uni().await {
            if let Err(fault) = self.read_stream(&connection, stream).await {
                self.sink.note_fault(fault.reason());
                connection.close((fault as u32).into(), fault.reason().as_bytes());
                return;
            }
        }
    }

    /// Delivers the frames of a stream. The first one says who sends, and is checked against
    /// the certificate.
    async fn read_stream(
        &self,
        connection: &Connection,
        mut stream: RecvStream,
    ) -> Result<(), LinkFault> {
        let mut frames = FrameReader::default();
        let mut sender: Option<InstanceName> = None;
        let mut buffer = vec![0; READ_BYTES];
        while let Ok(Some(count)) = stream.read(&mut buffer).await {
            frames.push(&buffer[..count]);
            while let Some(frame) = frames.next_frame().map_err(|_| LinkFault::Malformed)? {
                self.stamps.observe(frame.stamp);
                match (frame.body, &sender) {
                    (PeerBody::Hello { instance, incarnation }, None)
                        if is_from(connection, &instance) =>
                    {
                        let from = instance.clone();
                        let connected = LinkCommand::Connected { from, incarnation };
                        drop(self.commands.try_send(connected));
                        sender = Some(instance);
                    }
                    (PeerBody::Hello { .. }, _) | (_, None) => return Err(LinkFault::Impostor),
                    (body, Some(sender)) => self.sink.deliver(sender.clone(), body),
                }
            }
        }
        Ok(())
    }
}

fn is_from(connection: &Connection, name: &InstanceName) -> bool {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    let certificate = chain.as_ref().and_then(|chain| chain.first());
    certificate
        .is_some_and(|certificate| TlsIdentity::is_certificate_of(certificate, name.as_str()))
}
