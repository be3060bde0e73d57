use kwg_gate::{GateDigest, InstanceMap};
use rand::Rng;

use super::overload_replay::{OverloadReplay, TICK_MS};

/// Interval of digests, and of the views of a relay.
const DIGEST_MS: u64 = 200;
/// Interval of the sums of other domains.
const SUM_MS: u64 = 500;
/// Age of the reports in a view or sum on arrival, beyond the time since they were made.
const TRANSFER_MS: u64 = 30;
/// Largest number of instances of a domain that exchange digests directly.
const DIRECT_PEERS: usize = 16;

/// The exchange of digests between the instances of a replay.
impl OverloadReplay<'_> {
    pub(super) fn exchange_digests(&mut self) {
        let now = self.now();
        for (_, to, from, digest) in
            self.messages.extract_if(.., |(at, ..)| *at <= self.now_ms).collect::<Vec<_>>()
        {
            self.nodes[to].core.apply_digest(&from, &digest, now);
            self.wake_all(to);
        }
        for node in 0..self.nodes.len() {
            if self.now_ms / TICK_MS % (DIGEST_MS / TICK_MS) == node as u64 % (DIGEST_MS / TICK_MS)
            {
                let draw = self.random.random();
                self.last_digests[node] = self.nodes[node].core.digest(1, now);
                self.nodes[node].core.claim_slots(draw, now);
                self.wake_all(node);
                if self.pattern.instances <= DIRECT_PEERS {
                    self.send_to_domain(node);
                }
            }
        }
        for index in 0..self.pattern.domains {
            let is_due = |interval: u64| {
                (self.now_ms / TICK_MS + index as u64 * 7).is_multiple_of(interval / TICK_MS)
            };
            let (views_due, sums_due) =
                (is_due(DIGEST_MS) && self.pattern.instances > DIRECT_PEERS, is_due(SUM_MS));
            if views_due || sums_due {
                self.send_sums(index, views_due, sums_due);
            }
        }
    }

    fn send_to_domain(&mut self, node: usize) {
        let sender = &self.nodes[node];
        for (to, other) in self.nodes.iter().enumerate() {
            if to != node && other.domain == sender.domain {
                let digest = self.last_digests[node].clone();
                self.messages.push((self.now_ms + TICK_MS, to, sender.name.clone(), digest));
            }
        }
    }

    /// Sends the sum of a domain to its own instances, without the recipient's part, and to all
    /// others.
    fn send_sums(&mut self, index: usize, to_own: bool, to_others: bool) {
        let size = self.pattern.instances;
        let members = index * size..(index + 1) * size;
        let name = InstanceMap::domain_peer_name(&self.nodes[members.start].domain);
        let at = self.now_ms + TRANSFER_MS;
        let nothing = GateDigest::default();
        for to in 0..self.nodes.len() {
            let is_own = members.contains(&to);
            if (is_own && to_own) || (!is_own && to_others) {
                let others = members.clone().filter(|member| *member != to);
                let sum =
                    GateDigest::sum(&nothing, others.map(|member| &self.last_digests[member]));
                self.messages.push((at, to, name.clone(), sum));
            }
        }
    }
}
