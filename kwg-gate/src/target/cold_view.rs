/// How much of the fleet an instance is in touch with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ColdView {
    /// Number of instances whose reports arrive, this one included.
    pub(crate) reachable: u32,
    /// Most instances that were ever known to live at a time.
    pub(crate) fleet: u32,
    /// Whether a peer has reported since the start, or there is none.
    pub(crate) has_heard: bool,
}

impl ColdView {
    /// Part of the fleet with which the instance is in touch; 0 before it has heard a peer.
    pub(crate) fn part(&self) -> f64 {
        match self.has_heard {
            true => (f64::from(self.reachable) / f64::from(self.fleet.max(1))).min(1.0),
            false => 0.0,
        }
    }
}
