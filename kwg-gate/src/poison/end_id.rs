use crate::TargetRun;

/// Identifies one end of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct EndId {
    pub(super) run: TargetRun,
    pub(super) ordinal: u8,
}
