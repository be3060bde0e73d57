use std::collections::HashMap;
use std::net::SocketAddr;

use async_channel::Sender;
use kwg_model::InstanceName;
use kwg_peer::LinkCommand;
use kwg_wire::{GateMessage, PeerBody};

use crate::gateway_metrics::GatewayMetrics;

/// Queues messages for other gateways.
#[derive(Debug, Clone)]
pub(crate) struct PeerOutbox {
    commands: Sender<LinkCommand>,
    metrics: GatewayMetrics,
}

impl PeerOutbox {
    pub(crate) fn new(commands: Sender<LinkCommand>, metrics: GatewayMetrics) -> Self {
        Self { commands, metrics }
    }

    /// Queues a message; one to an invalid name is logged and dropped.
    pub(crate) fn send(&self, to: &str, message: GateMessage) {
        match InstanceName::new(to) {
            Ok(to) => self.command(LinkCommand::Send { to, body: PeerBody::Gate(message) }),
            Err(error) => log::warn!("event=peer-unusable peer={to} error=\"{error}\""),
        }
    }

    /// Replaces the addresses of all peers.
    pub(crate) fn publish_addresses<'a>(&self, named: impl Iterator<Item = (&'a str, SocketAddr)>) {
        let addresses: HashMap<InstanceName, SocketAddr> = named
            .filter_map(|(name, address)| Some((InstanceName::new(name).ok()?, address)))
            .collect();
        self.command(LinkCommand::Addresses(addresses));
    }

    /// Queues a command for the link; counts it as dropped if the link has ended.
    fn command(&self, command: LinkCommand) {
        if self.commands.try_send(command).is_err() {
            self.metrics.record_drop("link-command");
        }
    }
}
