use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use kwg_model::MonoTime;

use crate::{DomainListing, GateDigest, InstanceMap, RelayElection};

/// Largest group of instances in which every instance exchanges digests with every other one: the
/// fleet if it is small, otherwise a failure domain. The relay of a domain sends the domain's sum to
/// the other domains. In a larger domain instances send their digests to the relay only, which sends
/// them the sums of all domains, so that the messages of an instance do not grow with the fleet.
const MESH_SIZE: usize = 16;
/// How long the readers that a relay has named remain valid without a further view of a relay.
const READERS_KEPT: Duration = Duration::from_millis(1_600);
/// Number of store readers in each failure domain of a fleet that is no full mesh, so that one may
/// fail.
const READERS_PER_DOMAIN: usize = 2;
/// The same in a domain whose instances exchange digests through a relay. Each change in the store
/// costs a call of every reader, and the sums of the other domains show a reader that lags.
const READERS_PER_LARGE_DOMAIN: usize = 1;
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
    /// Last sum accepted from each other failure domain.
    sums: BTreeMap<String, AcceptedSum>,
    election: RelayElection,
    /// What the relay of this instance's domain has last listed, and when its last view arrived.
    listing: Option<(DomainListing, MonoTime)>,
    own_store_answers: bool,
}

#[derive(Debug, Clone)]
struct AcceptedSum {
    relay: String,
    relay_run: u64,
    number: u64,
    at: MonoTime,
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
    /// Creates a roster with only this instance, started at `now`.
    #[must_use]
    pub fn new(own: &str, domain: &str, now: MonoTime) -> Self {
        let (members, sums) = (BTreeMap::new(), BTreeMap::new());
        let election = RelayElection::new(own, now);
        let (own, domain) = (own.to_owned(), domain.to_owned());
        Self { own, domain, members, sums, election, listing: None, own_store_answers: false }
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
        self.election.record_heard(name);
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

    /// Address of another instance, if it is known.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.address)
    }

    /// Whether all instances exchange digests with each other.
    #[must_use]
    pub fn is_mesh(&self) -> bool {
        self.members.len() < MESH_SIZE
    }

    /// Whether the instances of this domain exchange digests through their relay.
    #[must_use]
    pub fn is_relayed(&self, now: MonoTime) -> bool {
        !self.is_mesh() && self.domain_peers(now).len() >= MESH_SIZE
    }

    /// The instances that this one sends its digests to. A relay sends views instead.
    #[must_use]
    pub fn neighbours(&self, now: MonoTime) -> Vec<&str> {
        let is_mesh = self.is_mesh();
        if self.is_relayed(now) {
            let mut relays = self.election.relays(&self.candidates(now), now);
            relays.retain(|name| *name != self.own);
            return relays;
        }
        let members = self.members.iter().filter(|(_, member)| {
            now.since(member.last_seen) < FORGET_AFTER && (is_mesh || member.domain == self.domain)
        });
        members.map(|(name, _)| name.as_str()).collect()
    }

    /// The other live instances of this domain, to which its relay sends views and changes.
    #[must_use]
    pub fn domain_peers(&self, now: MonoTime) -> Vec<&str> {
        let members = self.members.iter().filter(|(_, member)| {
            member.domain == self.domain && now.since(member.last_seen) < FORGET_AFTER
        });
        members.map(|(name, _)| name.as_str()).collect()
    }

    /// Updates this instance's view of which instance is the relay; called with each digest.
    pub fn update_relay(&mut self, now: MonoTime) {
        if self.is_relayed(now) {
            let candidates: Vec<String> =
                self.candidates(now).into_iter().map(str::to_owned).collect();
            let candidates: Vec<&str> = candidates.iter().map(String::as_str).collect();
            self.election.update(&candidates, now);
        }
    }

    /// Records a view of a relay of this domain, with its listing if it contains one; returns
    /// whether to use it.
    pub fn record_view(
        &mut self,
        from: &str,
        listing: Option<DomainListing>,
        now: MonoTime,
    ) -> bool {
        if !self.election.record_view(from, now) {
            return false;
        }
        if let Some(listing) = listing {
            for (name, address, is_live) in &listing.members {
                let domain = self.domain.clone();
                if *is_live {
                    self.record_member(name, *address, &domain, now);
                }
            }
            self.listing = Some((listing, now));
        }
        if let Some((listing, at)) = &mut self.listing {
            *at = now;
            for (name, _, _) in listing.members.iter().filter(|(_, _, is_live)| *is_live) {
                if let Some(member) = self.members.get_mut(name) {
                    member.last_seen = now;
                }
            }
        }
        true
    }

    /// What this instance, as relay, lists to the others of its domain; `own` is its address.
    #[must_use]
    pub fn domain_listing(&self, own: SocketAddr, now: MonoTime) -> DomainListing {
        let members = self.members.iter().filter(|(_, member)| {
            member.domain == self.domain && now.since(member.last_seen) < FORGET_AFTER
        });
        let mut members: Vec<(String, SocketAddr, bool)> = members
            .map(|(name, member)| {
                (name.clone(), member.address, now.since(member.last_seen) < SILENT_AFTER)
            })
            .collect();
        members.push((self.own.clone(), own, true));
        members.sort();
        let is_reader = |(name, _, is_live): &&(String, SocketAddr, bool)| {
            *is_live && self.reads_store(name, now)
        };
        let readers = members.iter().filter(is_reader).map(|(name, _, _)| name.clone()).collect();
        DomainListing { members, readers }
    }

    /// Whether this instance is the relay of its failure domain. In a domain of at most 16
    /// instances it is the live one with the first name; see [`RelayElection`] for larger ones.
    #[must_use]
    pub fn is_relay(&self, now: MonoTime) -> bool {
        if self.is_relayed(now) {
            return self.election.is_acting();
        }
        let is_live = |member: &RosterMember| now.since(member.last_seen) < SILENT_AFTER;
        let mut earlier = self.members.range(..self.own.clone());
        !self.is_mesh()
            && !earlier.any(|(_, member)| member.domain == self.domain && is_live(member))
    }

    /// Whether this instance receives the digests of the other instances of its domain itself.
    #[must_use]
    pub fn hears_members(&self, now: MonoTime) -> bool {
        !self.is_relayed(now)
            || self.election.is_acting()
            || self.election.relays(&self.candidates(now), now).contains(&self.own.as_str())
    }

    /// Whether this instance is a store reader. In a fleet that is no full mesh each failure domain
    /// has two of them, which pass changes on to the others; a large domain has one, which its
    /// relay names.
    #[must_use]
    pub fn is_store_reader(&self, now: MonoTime) -> bool {
        if self.is_mesh() {
            return true;
        }
        if !self.is_relayed(now) || self.election.is_acting() {
            return self.reads_store(&self.own, now);
        }
        match &self.listing {
            Some((listing, at)) if now.since(*at) < READERS_KEPT => {
                listing.readers.contains(&self.own)
            }
            // Without a relay nobody passes changes on.
            _ => self.election.is_without_relay(READERS_KEPT, now) || self.hears_members(now),
        }
    }

    /// Number of store readers of this domain.
    fn reader_count(&self, now: MonoTime) -> usize {
        if self.is_relayed(now) { READERS_PER_LARGE_DOMAIN } else { READERS_PER_DOMAIN }
    }

    /// Whether `name` is one of the store readers: the instances of this domain with the first
    /// names that the store answers. If the store stops answering one, the next instance by name
    /// takes over at once and the following ones after increasing delays.
    fn reads_store(&self, name: &str, now: MonoTime) -> bool {
        let earlier = self.members.range(..name.to_owned());
        let live: Vec<&RosterMember> = earlier
            .map(|(_, member)| member)
            .filter(|member| {
                member.domain == self.domain && now.since(member.last_seen) < SILENT_AFTER
            })
            .collect();
        let reader_count = self.reader_count(now);
        let own_before = usize::from(self.own.as_str() < name);
        let surplus = (live.len() + own_before).saturating_sub(reader_count);
        let surplus = u32::try_from(surplus).unwrap_or(u32::MAX);
        let takeover_delay = TAKEOVER_STEP.saturating_mul(surplus).min(MAX_TAKEOVER_DELAY);
        let reads = |member: &&&RosterMember| {
            member.digest.as_ref().is_some_and(|digest| digest.store_answers)
                || member.store_answered.is_some_and(|at| now.since(at) < takeover_delay)
        };
        let own_reads = usize::from(own_before == 1 && self.own_store_answers);
        live.iter().filter(reads).count() + own_reads < reader_count
    }

    /// Records whether the store answers this instance.
    pub fn set_store_answers(&mut self, answers: bool) {
        self.own_store_answers = answers;
    }

    /// Sorted names of the live instances of this domain, this one included. Those that the relay
    /// lists as silent are left out.
    fn candidates(&self, now: MonoTime) -> Vec<&str> {
        let listing = self.listing.as_ref().filter(|_| !self.election.is_acting());
        let is_live = |name: &str| {
            let listed = listing.and_then(|(listing, _)| {
                listing.members.iter().find(|(known, _, _)| known == name)
            });
            listed.is_none_or(|(_, _, is_live)| *is_live)
        };
        let members = self.members.iter().filter(|(name, member)| {
            member.domain == self.domain
                && now.since(member.last_seen) < FORGET_AFTER
                && is_live(name)
        });
        let mut names: Vec<&str> = members.map(|(name, _)| name.as_str()).collect();
        names.push(&self.own);
        names.sort_unstable();
        names
    }

    /// One instance of each other failure domain: its relay if it has been heard, otherwise one
    /// selected by `draw`, a random number in [0, 1).
    #[must_use]
    pub fn contacts(&self, draw: f64, now: MonoTime) -> Vec<&str> {
        let mut domains: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, member) in &self.members {
            if member.domain != self.domain && now.since(member.last_seen) < FORGET_AFTER {
                domains.entry(&member.domain).or_default().push(name);
            }
        }
        domains
            .iter()
            .map(|(domain, names)| {
                let relay = self.sums.get(*domain).filter(|sum| now.since(sum.at) < SILENT_AFTER);
                let relay = relay.filter(|_| names.len() > MESH_SIZE).map(|sum| sum.relay.as_str());
                relay.unwrap_or(names[(draw * names.len() as f64) as usize % names.len()])
            })
            .collect()
    }

    /// Sum of the digests of all live instances of this failure domain. Silent ones contribute
    /// their usage of accounts: if it left the sum, it would be charged again on their return.
    #[must_use]
    pub fn domain_sum(&self, own: &GateDigest, now: MonoTime) -> GateDigest {
        let members = self.members.values().filter(|member| member.domain == self.domain);
        let digests = members.filter_map(|member| Some((member, member.digest.as_ref()?)));
        let (live, silent): (Vec<_>, Vec<_>) =
            digests.partition(|(member, _)| now.since(member.last_seen) < SILENT_AFTER);
        let silent: Vec<GateDigest> =
            silent.into_iter().map(|(_, digest)| digest.usage_only()).collect();
        GateDigest::sum(own, live.into_iter().map(|(_, digest)| digest).chain(&silent))
    }

    /// Records a domain's sum if it is new; returns whether it is. The sum of a new relay is
    /// accepted only after the old relay has been silent for `SILENT_AFTER`.
    pub fn accept_sum(
        &mut self,
        domain: &str,
        relay: &str,
        (relay_run, number): (u64, u64),
        now: MonoTime,
    ) -> bool {
        let is_new = domain != self.domain
            && self.sums.get(domain).is_none_or(|known| match known.relay_run == relay_run {
                true => number > known.number,
                false => now.since(known.at) > SILENT_AFTER,
            });
        if is_new {
            let accepted = AcceptedSum { relay: relay.to_owned(), relay_run, number, at: now };
            self.sums.insert(domain.to_owned(), accepted);
        }
        is_new
    }

    /// Marks all members of another domain as live, as reported by its relay.
    pub fn refresh_domain(&mut self, domain: &str, now: MonoTime) {
        let members = self.members.values_mut().filter(|member| member.domain == domain);
        members.for_each(|member| member.last_seen = now);
    }
}
