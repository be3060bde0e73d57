use std::collections::BTreeMap;

use kwg_model::{AccountName, HomeAddress, PeerView};

use super::TimerKey;
use crate::filter::{FlowContext, FlowPipe};
use crate::{CallerKey, TrafficMessage};

/// Recipient of tickets minted in another failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MintWaiter {
    /// A caller that requested tickets.
    Caller(CallerKey),
    /// A stored submission with an idempotency key, by request number.
    Keyed(u64),
}

/// Outstanding requests for tickets minted in another failure domain.
#[derive(Debug, Default)]
pub(crate) struct MintTable {
    waiters: BTreeMap<u64, MintWaiter>,
    next_request: u64,
}

impl MintTable {
    /// Requests tickets from a router in another failure domain, preferably one in the same region.
    ///
    /// Returns `false` if no such router is serving.
    pub(crate) fn request(
        &mut self,
        context: &FlowContext<'_>,
        waiter: MintWaiter,
        account: AccountName,
        count: u16,
        pipe: &mut FlowPipe<'_>,
    ) -> bool {
        let identity = context.identity;
        let is_other_domain = |peer: &&PeerView| peer.serving && peer.domain != identity.domain;
        let candidates: Vec<&PeerView> =
            context.fleet.peers.values().filter(is_other_domain).collect();
        let same_region = candidates.iter().filter(|peer| peer.region == identity.region);
        let same_region: Vec<&PeerView> = same_region.copied().collect();
        let choice = if same_region.is_empty() { &candidates } else { &same_region };
        if choice.is_empty() {
            return false;
        }
        self.next_request += 1;
        let request = self.next_request;
        let index = usize::try_from(request).unwrap_or(0) % choice.len();
        let home = peer_core(choice[index], identity.address.shard);
        pipe.send(&home, TrafficMessage::Mint { request, account, count });
        pipe.timers.set(context.now + context.options.home_timeout, TimerKey::Mint(request));
        self.waiters.insert(request, waiter);
        true
    }

    pub(crate) fn take(&mut self, request: u64) -> Option<MintWaiter> {
        self.waiters.remove(&request)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}

/// Returns the traffic core of a peer that corresponds to this shard.
pub(crate) fn peer_core(peer: &PeerView, shard: u16) -> HomeAddress {
    HomeAddress {
        instance: peer.instance.clone(),
        incarnation: peer.incarnation,
        shard: shard % peer.shards.max(1),
    }
}
