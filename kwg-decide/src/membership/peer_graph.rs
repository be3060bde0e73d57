use std::collections::BTreeSet;

use kwg_model::InstanceName;

/// Steps along the ring at which neighbours stand, in both directions. They make the distance
/// between any two of a thousand routers a handful of hops.
const RING_STEPS: [usize; 4] = [1, 7, 41, 239];

/// Which routers exchange heartbeats: a fixed number each, however many there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerGraph;

impl PeerGraph {
    /// The neighbours of `own` among `members`, which may or may not contain it.
    ///
    /// The relation is symmetric, so both ends expect each other's heartbeats.
    ///
    /// ```
    /// use kwg_decide::PeerGraph;
    /// use kwg_model::InstanceName;
    ///
    /// let names = (0..950).map(|n| InstanceName::new(format!("r{n:04}")).expect("valid"));
    /// let members: Vec<InstanceName> = names.collect();
    /// let neighbours = PeerGraph::neighbours(&members[0], &members);
    /// assert_eq!(neighbours.len(), 8);
    /// assert!(PeerGraph::neighbours(&members[1], &members).contains(&members[0]));
    /// ```
    #[must_use]
    pub fn neighbours(own: &InstanceName, members: &[InstanceName]) -> BTreeSet<InstanceName> {
        let mut ring: Vec<&InstanceName> = members.iter().chain([own]).collect();
        ring.sort();
        ring.dedup();
        let size = ring.len();
        let Ok(place) = ring.binary_search(&own) else { return BTreeSet::new() };
        let mut neighbours = BTreeSet::new();
        for step in RING_STEPS {
            let step = step % size;
            neighbours.insert(ring[(place + step) % size].clone());
            neighbours.insert(ring[(place + size - step) % size].clone());
        }
        neighbours.remove(own);
        neighbours
    }
}
