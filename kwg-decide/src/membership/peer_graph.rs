use std::collections::BTreeSet;

use kwg_model::{InstanceName, RegionName};

/// Rings inside a region: each gives a router two neighbours.
const REGION_RINGS: u8 = 3;
/// The ring over all regions.
const FLEET_RING: u8 = REGION_RINGS;

/// Which routers exchange heartbeats: a fixed number each, however many there are.
///
/// Routers stand on several rings, each in another random order, and are neighbours of those
/// beside them. That makes a random graph, in which news reaches everybody in few hops. Most
/// rings are inside a region, so that the links between regions carry little.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerGraph;

/// A router as the graph sees it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct GraphMember {
    /// The router.
    pub instance: InstanceName,
    /// Its region, if the instance list gives it.
    pub region: Option<RegionName>,
}

impl PeerGraph {
    /// The neighbours of `own` among `members`, which may or may not contain it.
    ///
    /// The relation is symmetric, so both ends expect each other's heartbeats.
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
        let near = |member: &&GraphMember| member.region == own.region;
        for ring in 0..REGION_RINGS {
            beside(own, members.iter().filter(near), ring, &mut neighbours);
        }
        beside(own, members.iter(), FLEET_RING, &mut neighbours);
        neighbours.remove(&own.instance);
        neighbours
    }
}

/// Adds the two routers that stand beside `own` on a ring.
fn beside<'a>(
    own: &'a GraphMember,
    members: impl Iterator<Item = &'a GraphMember>,
    ring: u8,
    neighbours: &mut BTreeSet<InstanceName>,
) {
    let place = |member: &GraphMember| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[ring]).update(member.instance.as_str().as_bytes());
        *hasher.finalize().as_bytes()
    };
    let mut order: Vec<([u8; 32], &InstanceName)> =
        members.chain([own]).map(|member| (place(member), &member.instance)).collect();
    order.sort_unstable();
    order.dedup();
    let size = order.len();
    let Ok(index) = order.binary_search(&(place(own), &own.instance)) else { return };
    neighbours.insert(order[(index + 1) % size].1.clone());
    neighbours.insert(order[(index + size - 1) % size].1.clone());
}
