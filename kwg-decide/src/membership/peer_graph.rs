use std::collections::BTreeSet;

use kwg_model::{InstanceName, RegionName};

/// Number of rings inside each region; each ring gives a router two neighbours.
const REGION_RINGS: u8 = 3;
/// Index of the ring that spans all regions.
const FLEET_RING: u8 = REGION_RINGS;

/// Overlay graph that determines which routers exchange heartbeats.
///
/// The degree is bounded regardless of fleet size. Routers are ordered on several rings, each in
/// a different pseudo-random order, and are neighbours of the adjacent routers on each ring. The
/// union of the rings is a random graph, in which updates reach every router in few hops. Most
/// rings are inside a region, to keep traffic between regions low.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerGraph;

/// A router as a node of the graph.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct GraphMember {
    /// The router.
    pub instance: InstanceName,
    /// Its region, if the instance list contains it.
    pub region: Option<RegionName>,
}

impl PeerGraph {
    /// Returns the neighbours of `own` among `members`, which may or may not contain `own`.
    ///
    /// The relation is symmetric, so that both ends expect each other's heartbeats.
    ///
    /// ```
    /// use kwg_decide::{GraphMember, PeerGraph};
    /// use kwg_model::InstanceName;
    ///
    /// let names = (0..950).map(|n| InstanceName::new(format!("r{n:04}")).expect("valid"));
    /// let members: Vec<GraphMember> =
    ///     names.map(|instance| GraphMember { instance, region: None }).collect();
    /// let neighbours = PeerGraph::neighbours(&members[0], &members);
    /// assert!(neighbours.len() <= 8);
    /// let back = PeerGraph::neighbours(&members[1], &members);
    /// assert_eq!(neighbours.contains(&members[1].instance), back.contains(&members[0].instance));
    /// ```
    #[must_use]
    pub fn neighbours(own: &GraphMember, members: &[GraphMember]) -> BTreeSet<InstanceName> {
        let mut neighbours = BTreeSet::new();
        let in_region = |member: &&GraphMember| member.region == own.region;
        for ring in 0..REGION_RINGS {
            add_ring_neighbours(own, members.iter().filter(in_region), ring, &mut neighbours);
        }
        add_ring_neighbours(own, members.iter(), FLEET_RING, &mut neighbours);
        neighbours.remove(&own.instance);
        neighbours
    }
}

/// Adds the two routers adjacent to `own` on a ring.
fn add_ring_neighbours<'a>(
    own: &'a GraphMember,
    members: impl Iterator<Item = &'a GraphMember>,
    ring: u8,
    neighbours: &mut BTreeSet<InstanceName>,
) {
    let position = |member: &GraphMember| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[ring]).update(member.instance.as_str().as_bytes());
        *hasher.finalize().as_bytes()
    };
    let mut order: Vec<([u8; 32], &InstanceName)> =
        members.chain([own]).map(|member| (position(member), &member.instance)).collect();
    order.sort_unstable();
    order.dedup();
    let size = order.len();
    let Ok(index) = order.binary_search(&(position(own), &own.instance)) else { return };
    neighbours.insert(order[(index + 1) % size].1.clone());
    neighbours.insert(order[(index + size - 1) % size].1.clone());
}
