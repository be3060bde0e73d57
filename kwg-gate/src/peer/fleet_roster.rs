use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kwg_model::MonoTime;

use crate::{GateDigest, InstanceMap};

/// Largest fleet in which every instance exchanges digests with every other one. In larger fleets
/// instances do so within their failure domain, and one domain relay exchanges the domain's sum
/// with the other domains.
const MESH_SIZE: usize = 16;
/// Number of store readers in each failure domain of a large fleet, so that one may fail.
const READERS_PER_DOMAIN: usize = 2;
/// Additional delay of each further instance before it takes over as store reader from instances
/// that the store has stopped answering. Long enough for a reader to replace a reset connection to
/// the store, which takes a few hundred milliseconds.
const TAKEOVER_STEP: Duration = Duration::from_millis(400);
/// Maximum takeover delay: changes must be in force, and drained targets without new requests,
/// within 2.5 to 4 s.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(1_600);
/// Silence after which a neighbour counts as failed and its roles pass to another instance.
const SILENT_AFTER: Duration = Duration::from_millis(1_100);
/// Silence after which an instance is no longer listed or sent digests; it stays a member. Longer
/// than network partitions usually last, because an unreachable instance may still be serving. An
/// instance that returns contacts its peers by itself.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// The instances of the fleet and their roles in the exchange of digests and store tables.
#[derive(Debug, Clone)]
pub struct FleetRoster {
    own: String,
    domain: String,
    members: BTreeMap<String, RosterMember>,
    /// Last sum accepted from each other failure domain: run of the relay, number and arrival time.
    sums: BTreeMap<String, (u64, u64, MonoTime)>,
}

#[derive(Debug, Clone)]
struct RosterMember {
    address: SocketAddr,
    domain: String,
    last_seen: MonoTime,
    /// When this member last reported that the store answers it.
    store_answered: Option<MonoTime>,
    digest: Option<GateDigest>,
}

impl FleetRoster {
    /// Creates a roster with only this instance.
    #[must_use]
    pub fn new(own: &str, domain: &str) -> Self {
        let (members, sums) = (BTreeMap::new(), BTreeMap::new());
        Self { own: own.to_owned(), domain: domain.to_owned(), members, sums }
    }

    /// Records that an instance was live at `now`; returns whether its address is new or has
    /// changed.
    pub fn record_member(
        &mut self,
        name: &str,
        address: SocketAddr,
        domain: &str,
        now: MonoTime,
    ) -> bool {
        if name == self.own {
            return false;
        }
        let known = self.members.get(name);
        let is_new = known.is_none_or(|known| known.address != address);
        let digest = known.and_then(|known| known.digest.clone());
        let store_answered = known.and_then(|known| known.store_answered);
        let domain = domain.to_owned();
        let member = RosterMember { address, domain, last_seen: now, store_answered, digest };
        self.members.insert(name.to_owned(), member);
        is_new
    }

    /// Stores the latest digest of an instance for the sum of its failure domain.
    pub fn keep_digest(&mut self, name: &str, digest: &GateDigest) {
        if let Some(member) = self.members.get_mut(name) {
            if digest.store_answers {
                member.store_answered = Some(member.last_seen);
            }
            member.digest = Some(digest.clone());
        }
    }

    /// The instances that were live within the last 20 s, this one included.
    #[must_use]
    pub fn instances(&self, now: MonoTime) -> InstanceMap {
        let mut domains: BTreeMap<String, Vec<String>> = BTreeMap::new();
        domains.entry(self.domain.clone()).or_default().push(self.own.clone());
        for (name, member) in &self.members {
            if now.since(member.last_seen) < FORGET_AFTER {
                domains.entry(member.domain.clone()).or_default().push(name.clone());
            }
        }
        domains.values_mut().for_each(|names| names.sort());
        InstanceMap { own: self.own.clone(), domains }
    }

    /// Names and addresses of all known instances except this one.
    pub fn addresses(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.members.iter().map(|(name, member)| (name.as_str(), member.address))
    }

    /// Whether all instances exchange digests with each other.
    #[must_use]
    pub fn is_mesh(&self) -> bool {
        self.members.len() < MESH_SIZE
    }

    /// The instances that this one sends its digests to.
    pub fn neighbours(&self, now: MonoTime) -> impl Iterator<Item = &str> {
        let is_mesh = self.is_mesh();
        self.members
            .iter()
            .filter(move |(_, member)| {
                now.since(member.last_seen) < FORGET_AFTER
                    && (is_mesh || member.domain == self.domain)
            })
            .map(|(name, _)| name.as_str())
    }

    /// Whether this instance is the relay of its failure domain: the live instance with the first
    /// name.
    #[must_use]
    pub fn is_relay(&self, now: MonoTime) -> bool {
        let is_live = |member: &RosterMember| now.since(member.last_seen) < SILENT_AFTER;
        let mut earlier = self.members.range(..self.own.clone());
        !self.is_mesh()
            && !earlier.any(|(_, member)| member.domain == self.domain && is_live(member))
    }

    /// Whether this instance is a store reader. In a large fleet each failure domain has
    /// `READERS_PER_DOMAIN` of them, the instances with the first names that the store answers,
    /// which pass changes on to the others. If the store stops answering one, the next instance by
    /// name takes over at once and the following ones after increasing delays.
    #[must_use]
    pub fn is_store_reader(&self, now: MonoTime) -> bool {
        if self.is_mesh() {
            return true;
        }
        let earlier = self.members.range(..self.own.clone()).map(|(_, member)| member);
        let live: Vec<&RosterMember> = earlier
            .filter(|member| {
                member.domain == self.domain && now.since(member.last_seen) < SILENT_AFTER
            })
            .collect();
        let surplus =
            u32::try_from(live.len().saturating_sub(READERS_PER_DOMAIN)).unwrap_or(u32::MAX);
        let takeover_delay = TAKEOVER_STEP.saturating_mul(surplus).min(MAX_TAKEOVER_DELAY);
        let reads = |member: &&&RosterMember| {
            member.digest.as_ref().is_some_and(|digest| digest.store_answers)
                || member.store_answered.is_some_and(|at| now.since(at) < takeover_delay)
        };
        live.iter().filter(reads).count() < READERS_PER_DOMAIN
    }

    /// One instance of each other failure domain, selected by `draw`, a random number in [0, 1).
    #[must_use]
    pub fn contacts(&self, draw: f64, now: MonoTime) -> Vec<&str> {
        let mut domains: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, member) in &self.members {
            if member.domain != self.domain && now.since(member.last_seen) < FORGET_AFTER {
                domains.entry(&member.domain).or_default().push(name);
            }
        }
        domains
            .values()
            .map(|names| names[(draw * names.len() as f64) as usize % names.len()])
            .collect()
    }

    /// Sum of the digests of all live instances of this failure domain.
    #[must_use]
    pub fn domain_sum(&self, own: &GateDigest, now: MonoTime) -> GateDigest {
        let mut sum = own.clone();
        let neighbours = self.members.values().filter(|member| {
            member.domain == self.domain && now.since(member.last_seen) < SILENT_AFTER
        });
        neighbours.filter_map(|member| member.digest.as_ref()).for_each(|digest| sum.add(digest));
        sum
    }

    /// Records a domain's sum if it is new; returns whether it is. The sum of a new relay is
    /// accepted only after the old relay has been silent for `SILENT_AFTER`.
    pub fn accept_sum(&mut self, domain: &str, relay_run: u64, number: u64, now: MonoTime) -> bool {
        let known = self.sums.get(domain).copied();
        let is_new = domain != self.domain
            && known.is_none_or(|(run, last, at)| match run == relay_run {
                true => number > last,
                false => now.since(at) > SILENT_AFTER,
            });
        if is_new {
            self.sums.insert(domain.to_owned(), (relay_run, number, now));
        }
        is_new
    }

    /// Marks all members of another domain as live, as reported by its relay.
    pub fn refresh_domain(&mut self, domain: &str, now: MonoTime) {
        let members = self.members.values_mut().filter(|member| member.domain == domain);
        members.for_each(|member| member.last_seen = now);
    }
}
