use std::sync::Arc;

use async_channel::Receiver;
use async_executor::Executor;
use async_io::block_on;
use kwg_peer::{IdentityFiles, LinkCommand, LinkOptions, PeerLink, TlsIdentity};
use snafu::ResultExt;

use crate::RouterError;
use crate::inbound_sink::InboundSink;
use crate::router_error::LinkSnafu;
use crate::router_pipes::RouterPipes;

/// Capacity of the queue of frames for one peer.
const LINK_BACKLOG: usize = 4_096;

/// Runs the links to other routers.
#[derive(Debug)]
pub(crate) struct LinkThread {
    executor: Arc<Executor<'static>>,
    link: PeerLink<InboundSink>,
    commands: Receiver<LinkCommand>,
}

impl LinkThread {
    /// Loads the TLS identity and binds the peer address, so that a bad key or address is reported
    /// before any thread starts.
    pub(crate) fn bind(
        pipes: &RouterPipes,
        commands: Receiver<LinkCommand>,
    ) -> Result<Self, RouterError> {
        let files = &pipes.settings.peer;
        let identity = TlsIdentity::load(IdentityFiles {
            authority: &files.authority,
            certificate: &files.certificate,
            key: &files.key,
        });
        let options = LinkOptions {
            instance: pipes.settings.name.clone(),
            incarnation: pipes.incarnation,
            address: files.address,
            identity: identity.context(LinkSnafu)?,
            clock: pipes.clock.clone(),
            hybrid_clock: pipes.events.clock().clone(),
            backlog: LINK_BACKLOG,
        };
        let executor = Arc::new(Executor::new());
        let sink = Arc::new(InboundSink(pipes.clone()));
        let link = PeerLink::bind(options, Arc::clone(&executor), pipes.link.clone(), sink)
            .context(LinkSnafu)?;
        Ok(Self { executor, link, commands })
    }

    /// Runs until the command channel is closed explicitly: the link holds a sender of its own, so
    /// dropping the other senders does not end it.
    pub(crate) fn run(self) {
        block_on(self.executor.run(self.link.run(self.commands)));
    }
}
