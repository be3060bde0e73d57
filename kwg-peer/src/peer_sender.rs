use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use kwg_clock::ClockHandle;
use kwg_model::InstanceName;
use kwg_telemetry::HybridClock;
use kwg_wire::{FrameCodec, PeerBody, PeerFrame};
use quinn::{Connection, Endpoint, SendStream};

use crate::LinkSink;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed connection attempt.
const CONNECT_PAUSE: Duration = Duration::from_millis(300);
/// How long writing a frame may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends frames to one peer, connecting on demand and again after the connection is lost.
pub(crate) struct PeerSender<S> {
    pub(crate) instance: InstanceName,
    pub(crate) incarnation: u64,
    pub(crate) peer: InstanceName,
    pub(crate) address: SocketAddr,
    pub(crate) endpoint: Endpoint,
    pub(crate) clock: ClockHandle,
    pub(crate) hybrid_clock: HybridClock,
    pub(crate) sink: std::sync::Arc<S>,
}

/// An open link; the connection is kept for as long as its stream.
struct OpenLink {
    connection: Connection,
    stream: SendStream,
}

impl<S: LinkSink> PeerSender<S> {
    /// Sends the bodies received from `frames` until that channel is closed. While no connection
    /// can be made, bodies are dropped.
    pub(crate) async fn run(self, frames: Receiver<PeerBody>) {
        let mut link: Option<OpenLink> = None;
        while let Ok(body) = frames.recv().await {
            if link.as_ref().is_some_and(|link| link.connection.close_reason().is_some()) {
                link = None;
            }
            if link.is_none() {
                link = self.connect().await;
            }
            let Some(open) = &mut link else {
                self.drop_queued(&frames);
                self.clock.sleep(CONNECT_PAUSE).await;
                continue;
            };
            if !self.write(&mut open.stream, body).await {
                link = None;
            }
        }
    }

    async fn connect(&self) -> Option<OpenLink> {
        let timeout = async {
            self.clock.sleep(CONNECT_TIMEOUT).await;
            None
        };
        let connect = async {
            let connecting = self.endpoint.connect(self.address, self.peer.as_str()).ok()?;
            let connection = connecting.await.ok()?;
            let stream = connection.open_uni().await.ok()?;
            Some(OpenLink { connection, stream })
        };
        let mut link = connect.or(timeout).await;
        if let Some(open) = &mut link
            && !self.write(&mut open.stream, self.hello()).await
        {
            link = None;
        }
        if link.is_none() {
            self.sink.record_fault("connect");
        }
        link
    }

    fn hello(&self) -> PeerBody {
        PeerBody::Hello { instance: self.instance.clone(), incarnation: self.incarnation }
    }

    /// Writes one frame; returns `false` if the link must be reopened. A frame that is too long is
    /// dropped.
    async fn write(&self, stream: &mut SendStream, body: PeerBody) -> bool {
        let frame = PeerFrame { stamp: self.hybrid_clock.stamp(), body };
        let Ok(bytes) = FrameCodec::encode(&frame) else {
            self.sink.record_fault("frame-too-long");
            return true;
        };
        let timeout = async {
            self.clock.sleep(WRITE_TIMEOUT).await;
            false
        };
        let written = async { stream.write_all(&bytes).await.is_ok() }.or(timeout).await;
        if !written {
            self.sink.record_fault("write");
        }
        written
    }

    /// Drops the frames queued for a link that is down; senders repeat the messages that they
    /// depend on.
    fn drop_queued(&self, frames: &Receiver<PeerBody>) {
        while frames.try_recv().is_ok() {
            self.sink.record_fault("no-link");
        }
    }
}
