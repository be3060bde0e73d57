use crate::Placement;

/// A target with a free slot for a request that runs at a silent one. It is used or dropped.
#[derive(Debug, PartialEq)]
pub struct ReservedTarget(Placement);

impl ReservedTarget {
    pub(super) fn new(placement: Placement) -> Self {
        Self(placement)
    }

    /// The reserved target and the load assumed there.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        &self.0
    }

    pub(super) fn into_placement(self) -> Placement {
        self.0
    }
}
