use std::collections::BTreeMap;

use kwg_model::{AccountName, HomeAddress, PeerView};

use super::TimerKey;
use crate::filter::{FlowContext, FlowPipe};
use crate::{CallerKey, TrafficMessage};

/// Who waits for tickets minted in another failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MintPurpose {
    /// A caller that asked for tickets.
    Caller(CallerKey),
    /// A parked submission with an idempotency key.
    Keyed(u64),
}

/// What waits for tickets minted in another failure domain.
#[derive(Debug, Default)]
pub(crate) struct MintDesk {
    waits: BTreeMap<u64, MintPurpose>,
    next_request: u64,
}

impl MintDesk {
    /// Asks a router in another failure domain, of the same region if there is one; `false` if
    /// there is no such router.
    pub(crate) fn ask(
        &mut self,
        context: &FlowContext<'_>,
        purpose: MintPurpose,
        account: AccountName,
        count: u16,
        pipe: &mut FlowPipe<'_>,
    ) -> bool {
        let identity = context.identity;
        let elsewhere = |peer: &&PeerView| peer.serving && peer.domain != identity.domain;
        let candidates: Vec<&PeerView> = context.fleet.peers.values().filter(elsewhere).collect();
        let near = candidates.iter().filter(|peer| peer.region == identity.region);
        let near: Vec<&PeerView> = near.copied().collect();
        let choice = if near.is_empty() { &candidates } else { &near };
        if choice.is_empty() {
            return false;
        }
        self.next_request += 1;
        let request = self.next_request;
        let index = usize::try_from(request).unwrap_or(0) % choice.len();
        let home = peer_core(choice[index], identity.address.shard);
        pipe.send(&home, TrafficMessage::Mint { request, account, count });
        pipe.timers.set(context.now + context.options.home_timeout, TimerKey::Mint(request));
        self.waits.insert(request, purpose);
        true
    }

    pub(crate) fn take(&mut self, request: u64) -> Option<MintPurpose> {
        self.waits.remove(&request)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }
}

/// The traffic core of a peer that corresponds to this shard.
pub(crate) fn peer_core(peer: &PeerView, shard: u16) -> HomeAddress {
    HomeAddress {
        instance: peer.instance.clone(),
        incarnation: peer.incarnation,
        shard: shard % peer.shards.max(1),
    }
}
